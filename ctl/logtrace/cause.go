package logtrace

// causes says what an outcome means and which lines to read next. Outcomes that
// are not here speak for themselves.
var causes = map[string]string{
	"overloaded":             "no slot in time at the owner: its run line tells how many requests ran and waited",
	"rate_limited":           "the team is over its rate; keeper_away tells whether only this daemon's share was left",
	"keeper_unavailable":     "the team's keeper did not answer: look for what happened to the owner of its shard of _keeper",
	"no_owner":               "the shard has no owner, or no backend server is known: look for a lapse or lost lease without a take_over",
	"not_owner":              "the shard was changing hands: release and take_over tell how long the gap was",
	"draining":               "the daemon or its backend server was leaving",
	"fenced":                 "the backend server did not hold the shard yet, or holds a newer generation",
	"misdirected":            "the backend server said that it does not hold the key",
	"lease_lost":             "the owner's lease had ended",
	"owner_unreachable":      "no connection to the owner: look for its end, or for a seal",
	"connection_lost":        "the connection broke after the request was sent: it may have run",
	"backend_crashed":        "the backend server ended while the request was there: it may have run",
	"answer_cut":             "the answer was not whole or not to this request: it may have run",
	"backend_shed":           "the backend server turned the request away",
	"backend_error":          "the backend server answered with an error",
	"config_stale":           "the daemon's configuration was not confirmed for too long: look for its reading and log is down lines",
	"quarantined":            "the request crashed backend servers before",
	"deadline_not_run":       "the time limit passed before the request was sent to its backend server",
	"deadline_may_have_run":  "the time limit passed while the backend server had the request",
	"cancelled_not_run":      "the caller left before the request was sent to its backend server",
	"cancelled_may_have_run": "the caller left while the backend server had the request",
}

// causeOf explains the line of the daemon that took the request in.
func causeOf(l Line) string {
	kind := l.Text("outcome")
	text := kind
	if cause := causes[kind]; cause != "" {
		text += ": " + cause
	}
	if reason := l.Text("reason"); reason != "" {
		text += " (" + reason + ")"
	}
	return text
}
