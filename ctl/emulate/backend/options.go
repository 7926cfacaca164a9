package backend

import "time"

// Options configure an emulated backend server. A zero duration means none,
// and a zero MaxConns means no limit.
type Options struct {
	Name        string
	Service     string
	Version     string // announced; empty if unknown
	Addr        string // own address, as announced to the daemon
	DaemonAdmin string // admin address of the server's daemon
	Slots       int    // requests that run at the same time; more are shed
	ChecksFence bool
	ServiceTime time.Duration

	MaxConns    int            // connections open at the same time; more are reset
	ConnectTime time.Duration  // delay of the first read of a new connection
	WarmUp      time.Duration  // time from a cold start to full capacity
	StallTime   time.Duration  // duration of the stall after an overload of the cold server
	ReportLag   time.Duration  // age of the load that the server reports
	ExitOnCrash bool           // a crash ends the process instead of restarting the server in it
	Exit        func(code int) // ends the process; required with ExitOnCrash
}

// coldShare is the share of its slots that a server can run at a cold start.
const coldShare = 0.2

// coldSlowdown is the factor on the service time at a cold start.
const coldSlowdown = 4

// maxRuns bounds the number of recorded runs.
const maxRuns = 1 << 20

// Headers and body prefixes of requests.
const (
	headerRequestID  = "X-Request-Id"
	headerTeam       = "X-Sesamemoor-Team"
	headerShard      = "X-Sesamemoor-Shard"
	headerGeneration = "X-Sesamemoor-Generation"
	headerDeadline   = "X-Sesamemoor-Deadline-Ms"
	headerExpires    = "X-Sesamemoor-Expires-Us"
	headerRefused    = "X-Sesamemoor-Refused"
	headerLimit      = "X-Sesamemoor-Limit"
	headerLeaving    = "X-Sesamemoor-Leaving"
	headerCrash      = "X-Emulate-Crash" // crashes the server that runs the request
	crashBodyPrefix  = "emulate:crash"   // the same, as a prefix of the body
)

// Run is the record of one run of a request.
type Run struct {
	RequestID   string `json:"request_id"`
	Team        string `json:"team"`
	URI         string `json:"uri"`
	Shard       string `json:"shard"`
	Generation  string `json:"generation"`
	Method      string `json:"method"`
	Start       int64  `json:"at_us"`              // wall clock, microseconds since 1970
	End         int64  `json:"end_us"`             // 0 while the request runs and if the server crashed during the run
	AbortReason string `json:"cut,omitempty"`      // "cancelled", "deadline" or "crash" if the run did not complete
	KeySeen     bool   `json:"key_seen,omitempty"` // the request contained a caller key
}

// Faults are the faults of a server. They can change while it runs.
type Faults struct {
	SlowFactor      float64 `json:"slow_factor"` // factor on the service time; 0 means 1
	Frozen          bool    `json:"frozen"`      // requests neither start nor complete, nothing is announced
	NoAnnouncements bool    `json:"silent"`
	Leaving         bool    `json:"leaving"`     // announcements and responses report that the server leaves
	LimitPerS       float64 `json:"limit_per_s"` // responses name this limit; 0 means none
	// StutterEvery makes the server write every n-th answer a second time on its connection,
	// StutterMS milliseconds late; 0 means none.
	StutterEvery int `json:"stutter_every"`
	StutterMS    int `json:"stutter_ms"`
	// UnframedEvery makes every n-th answer to a run end with its connection; 0 means none.
	UnframedEvery int `json:"unframed_every"`
	// CutEvery makes the server break off every n-th answer to a run, and reset its connection
	// within cutResetDelay or write the whole answer behind, in turn; 0 means none.
	CutEvery int `json:"cut_every"`
}

// State is the response to GET /emulate/state.
type State struct {
	BootID      string `json:"boot_id"`
	Cold        bool   `json:"cold"`
	Capacity    int    `json:"capacity"` // requests that the server can run now
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Runs        int    `json:"runs"`
	RunsDropped int    `json:"runs_dropped"` // runs beyond maxRuns, not recorded
	Shed        int    `json:"shed"`
	Fenced      int    `json:"fenced"`
	Overloads   int    `json:"fell_over"`
	Crashes     int    `json:"crashes"`
	KeysSeen    int    `json:"keys_seen"`
	Faults      Faults `json:"faults"`
	Load        load   `json:"load"` // without ReportLag
}
