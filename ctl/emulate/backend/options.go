package backend

import "time"

// Options describe the emulated backend server. Zero durations and limits turn
// the behaviour off.
type Options struct {
	Name        string
	Service     string
	Addr        string // own address, announced to the daemon
	DaemonAdmin string // admin address of the daemon beside it
	Slots       int    // requests run at once; more are shed
	ChecksFence bool
	ServiceTime time.Duration

	MaxConns    int           // connections held at once; more are closed
	ConnectTime time.Duration // added to the first byte of a new connection
	WarmUp      time.Duration // time from cold to full capacity
	Stall       time.Duration // time that it is down after more load than it bears while cold
	ReportLag   time.Duration // age of the load that it reports
	ExitOnCrash bool          // a crash ends the process instead of restarting in it
	Exit        func(code int)
}

// coldShare is the part of the slots that a server bears at cold start.
const coldShare = 0.2

// coldSlowdown is how many times longer a request takes at cold start.
const coldSlowdown = 4

// maxRuns bounds the record of what ran.
const maxRuns = 1 << 20

// Headers and marks of the protocols with daemons and with experimenters.
const (
	headerRequest    = "X-Request-Id"
	headerTeam       = "X-Sesamemoor-Team"
	headerShard      = "X-Sesamemoor-Shard"
	headerGeneration = "X-Sesamemoor-Generation"
	headerDeadline   = "X-Sesamemoor-Deadline-Ms"
	headerExpires    = "X-Sesamemoor-Expires-Us"
	headerRefused    = "X-Sesamemoor-Refused"
	headerCrash      = "X-Emulate-Crash" // crashes the server that runs the request
	crashMark        = "emulate:crash"   // the same at the start of a body
)

// Run is one request that ran.
type Run struct {
	RequestID  string `json:"request_id"`
	Team       string `json:"team"`
	URI        string `json:"uri"`
	Shard      string `json:"shard"`
	Generation string `json:"generation"`
	Method     string `json:"method"`
	At         int64  `json:"at_us"`              // wall clock at start, microseconds since 1970
	End        int64  `json:"end_us"`             // 0 while it runs and if the server crashed under it
	Cut        string `json:"cut,omitempty"`      // "cancelled", "deadline" or "crash" if it did not finish
	KeySeen    bool   `json:"key_seen,omitempty"` // a caller key came with it
}

// Faults are switched while the server runs.
type Faults struct {
	SlowFactor float64 `json:"slow_factor"` // service time multiplied; 0 means 1
	Frozen     bool    `json:"frozen"`      // nothing moves while true
	Silent     bool    `json:"silent"`      // no announcements
	Leaving    bool    `json:"leaving"`     // announces that it leaves
}

// State is the answer to GET /emulate/state.
type State struct {
	BootID      string `json:"boot_id"`
	Cold        bool   `json:"cold"`
	Capacity    int    `json:"capacity"` // requests that it bears now
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
	Runs        int    `json:"runs"`
	RunsDropped int    `json:"runs_dropped"` // beyond the bound of the record
	Shed        int    `json:"shed"`
	Fenced      int    `json:"fenced"`
	FellOver    int    `json:"fell_over"`
	Crashes     int    `json:"crashes"`
	KeysSeen    int    `json:"keys_seen"`
	Faults      Faults `json:"faults"`
	Load        load   `json:"load"` // true load
}
