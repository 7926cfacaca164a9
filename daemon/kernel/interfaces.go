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

// Control is the control goroutine as plug-ins see it.
type Control interface {
	// Post queues an event. It blocks while the queue is full.
	Post(ev control.Event)
	// View returns the newest routing view; it is never nil.
	View() *view.View
}

// EffectHandler carries out effects of the control state. It is called on the
// control goroutine and must not block; it ignores effects of other types.
type EffectHandler interface {
	HandleEffect(effect control.Effect)
}

// Peers calls other daemons.
type Peers interface {
	// Call sends a frame to the daemon at addr and returns its answer. The
	// error is an *outcome.Err that tells whether the frame was sent.
	Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error)
}

// FrameHandler answers one kind of peer frame.
type FrameHandler interface {
	// Handles reports whether the handler answers frames like this one.
	Handles(frame *wire.Frame) bool
	// HandleFrame returns the answer; its id is filled in by the caller. It
	// may block; it runs on a goroutine of its own.
	HandleFrame(ctx context.Context, from string, frame *wire.Frame) *wire.Frame
}

// Executor runs requests on the backend server beside this daemon.
type Executor interface {
	Execute(ctx context.Context, req *wire.Request) *wire.Response
}

// BackendReport is an announcement of the backend server beside this daemon.
type BackendReport struct {
	Name        string
	Service     string
	Addr        string
	BootID      string // changes with each start of the server's process
	Slots       uint32
	Connections uint32 // that the server accepts; 0 if not stated
	ChecksFence bool
	Cold        bool
	Running     uint32 // requests that it says it runs; may lag or mislead
}

// BackendObserver takes in announcements before the control state does.
type BackendObserver interface {
	BackendReported(r BackendReport)
	// Running returns the number of requests that run on the server.
	Running() int
}

// LoadMeter takes note of the load of this daemon's shards.
type LoadMeter interface {
	// Arrived counts a request that reached its owner, served or not.
	Arrived(shard view.ShardID, keyHash uint64)
	// Served takes in the service time of a request that ran.
	Served(serviceTime time.Duration)
	// Announced takes in the load that the backend server announced.
	Announced(running uint32)
}

// Suspects keeps requests that crash backend servers away from them. A request
// is known by its fingerprint.
type Suspects interface {
	// Refuses reports whether the request is not to be sent to a backend server.
	Refuses(fingerprint uint64) bool
	// Completed tells that the request was answered.
	Completed(fingerprint uint64, service string)
	// Crashed tells that the request ran when a server crashed. crashID names
	// the crash, the same for all requests in flight.
	Crashed(fingerprint uint64, service, server, crashID string)
}

// Limiter grants a team's requests within its fleet-wide rate.
type Limiter interface {
	// Take takes one token of the team's bucket. The error is an *outcome.Err.
	Take(ctx context.Context, team string) error
}

// AdminRoute is a handler that a plug-in adds to the admin server.
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
