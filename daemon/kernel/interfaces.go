package kernel

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Control is the plug-ins' interface to the control goroutine.
type Control interface {
	// Post queues an event. It blocks while the queue is full; once the control
	// goroutine is being stopped it may discard the event.
	Post(ev control.Event)
	// View returns the newest routing view. It is never nil.
	View() *view.View
}

// EffectHandler carries out effects of the control state. It is called on the
// control goroutine and must not block. It ignores effects of types that it does not
// handle.
type EffectHandler interface {
	HandleEffect(effect control.Effect)
}

// Peers sends frames to other daemons.
type Peers interface {
	// Call sends a frame to the daemon at addr and returns its reply. The error is
	// an *outcome.Err; its kind states whether the frame was sent.
	Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error)
}

// FrameHandler handles one kind of peer frame.
type FrameHandler interface {
	// Handles reports whether the handler accepts the frame.
	Handles(frame *wire.Frame) bool
	// HandleFrame returns the reply; the caller sets its id. It runs on its own
	// goroutine and may block.
	HandleFrame(ctx context.Context, from string, frame *wire.Frame) *wire.Frame
}

// Executor runs requests on this daemon's backend server.
type Executor interface {
	Execute(ctx context.Context, req *wire.Request) *wire.Response
}

// BackendReport is an announcement of this daemon's backend server.
type BackendReport struct {
	Name        string
	Service     string
	Addr        string
	BootID      string // changes with each start of the server's process
	Slots       uint32
	Connections uint32 // that the server accepts; 0 if not announced
	ChecksFence bool
	Cold        bool
	Leaving     bool
	Running     uint32 // requests in progress as announced; may be late or wrong
}

// BackendObserver receives announcements before the control state does.
type BackendObserver interface {
	// BackendReported processes an announcement.
	BackendReported(r BackendReport)
	// Running returns the number of requests that run on the server.
	Running() int
}

// LoadMeter measures the load of this daemon's shards.
type LoadMeter interface {
	// RecordArrival counts a request that reached its owner, whether or not it is served.
	RecordArrival(shard view.ShardID, keyHash uint64)
	// RecordServiceTime records the service time of a request that ran.
	RecordServiceTime(serviceTime time.Duration)
	// RecordRunning records the number of running requests that the backend server
	// announced.
	RecordRunning(running uint32)
}

// Suspects quarantines requests that crash backend servers. A request is
// identified by its fingerprint.
type Suspects interface {
	// IsQuarantined reports whether the request is in quarantine and must not be sent to
	// a backend server.
	IsQuarantined(fingerprint uint64) bool
	// RecordCompletion records that the backend server answered the request.
	RecordCompletion(fingerprint uint64, service string)
	// RecordCrash records that the request was in flight when a server crashed. crashID
	// identifies the crash; all requests in flight at that time have the same crashID.
	RecordCrash(fingerprint uint64, service, server, crashID string)
}

// Limiter limits a team's requests to its fleet-wide rate.
type Limiter interface {
	// Take takes one token from the team's bucket and waits for one if necessary.
	// The error is an *outcome.Err.
	Take(ctx context.Context, team string) error
}

// Rollouts restricts the requests of this daemon to the versions that the roll-outs of
// their services allow, and counts their results by version.
type Rollouts interface {
	// Allowed returns which members of a service without keys may run a request, or nil if
	// all may. choice is that of the request, kept over its attempts; usable reports the
	// members that have not failed it and are not avoided, as unreachable ones are.
	Allowed(v *view.View, req *wire.Request, choice *VersionChoice, usable func(m *view.Member) bool) func(m *view.Member) bool
	// Sent counts an attempt that is sent to a member. It returns the function that counts
	// its result, or nil if it is not needed.
	Sent(v *view.View, req *wire.Request, target *view.Member) func(resp *wire.Response, err error)
}

// VersionChoice is the version that a roll-out selected for a request. The zero value
// means that none was selected yet.
type VersionChoice struct {
	Order   uint64 // id of the roll-out's order
	New     bool   // the new version was selected, or the old one if not
	Servers int    // number of servers of the new version among which to choose
}

// AdminRoute is a route that a plug-in adds to the admin server.
type AdminRoute struct {
	Method  string
	Path    string
	Handler http.Handler
}

// Fx groups to which plug-ins contribute.
const (
	effectGroup = `group:"effects"`
	frameGroup  = `group:"frames"`
	routeGroup  = `group:"admin_routes"`
)

// AsEffectHandler annotates a constructor of an EffectHandler.
func AsEffectHandler(constructor any) any {
	return fx.Annotate(constructor, fx.As(new(EffectHandler)), fx.ResultTags(effectGroup))
}

// AsFrameHandler annotates a constructor of a FrameHandler.
func AsFrameHandler(constructor any) any {
	return fx.Annotate(constructor, fx.As(new(FrameHandler)), fx.ResultTags(frameGroup))
}

// EffectHandlers receives the group of effect handlers.
type EffectHandlers struct {
	fx.In
	Handlers []EffectHandler `group:"effects"`
}

// FrameHandlers receives the group of frame handlers.
type FrameHandlers struct {
	fx.In
	Handlers []FrameHandler `group:"frames"`
}

// AsAdminRoute annotates a constructor of an AdminRoute.
func AsAdminRoute(constructor any) any {
	return fx.Annotate(constructor, fx.ResultTags(routeGroup))
}

// AdminRoutes receives the group of admin routes.
type AdminRoutes struct {
	fx.In
	Routes []AdminRoute `group:"admin_routes"`
}
