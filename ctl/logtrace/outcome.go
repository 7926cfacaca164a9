package logtrace

// outcomeMeanings explains outcomes and names the log lines to read next. Outcomes
// whose names explain themselves are absent.
var outcomeMeanings = map[string]string{
	"overloaded":             "no slot was free in time at the owner: its run line has the number of running and waiting requests",
	"rate_limited":           "the team is over its rate; keeper_away is true if the keeper did not answer and only this daemon's share of the rate applied",
	"keeper_unavailable":     "the team's keeper did not answer: look for decisions about the owner of its shard of _keeper",
	"no_owner":               "the shard has no owner, or no backend server is known: look for a lapse or lost lease without a take_over",
	"not_owner":              "the shard was moving to another owner: the time between release and take_over is the gap",
	"draining":               "the daemon or its backend server was leaving",
	"fenced":                 "the backend server did not hold the shard yet, or holds a newer generation",
	"misdirected":            "the backend server reported that it does not hold the key",
	"lease_lost":             "the owner's lease had ended",
	"owner_unreachable":      "no connection to the owner or to its backend server: look for the end of either, or for a seal",
	"connection_lost":        "the connection broke after the request was sent: it may have run",
	"backend_crashed":        "the backend server ended while it had the request: it may have run",
	"answer_cut":             "the answer was truncated or belonged to another request: it may have run",
	"backend_reset":          "the backend server reset a new connection without an answer, as one does that is full: the request may have run",
	"backend_shed":           "the backend server shed the request",
	"backend_error":          "the backend server answered with an error",
	"config_stale":           "the daemon's configuration was not confirmed for too long: look for its reading and log is down lines",
	"quarantined":            "earlier attempts of the request crashed backend servers",
	"deadline_not_run":       "the deadline passed before the request was sent to its backend server",
	"deadline_may_have_run":  "the deadline passed while the backend server had the request",
	"cancelled_not_run":      "the caller disconnected before the request was sent to its backend server",
	"cancelled_may_have_run": "the caller disconnected while the backend server had the request",
}

// describeOutcome returns the outcome in the log line of the entry daemon, with its
// meaning and reason.
func describeOutcome(l Line) string {
	kind := l.Text("outcome")
	text := kind
	if meaning := outcomeMeanings[kind]; meaning != "" {
		text += ": " + meaning
	}
	if reason := l.Text("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	return text
}
