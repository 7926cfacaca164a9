package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// stoppingServer is a backend server that closes connections on command, and whose runs end on
// command although their connections may be closed.
type stoppingServer struct {
	*httptest.Server
	e *executor
	f *fake

	sequence uint64
	inReply  bool
	finish   func() // ends the runs
}

// startStopping starts a server that takes its keys from orders or from replies to its
// announcements.
func startStopping(t *testing.T, inReply bool) *stoppingServer {
	t.Helper()
	s := &stoppingServer{sequence: 1, inReply: inReply}
	s.e, s.f = startWith(t, func(srv *httptest.Server) { s.Server = srv })
	end := make(chan struct{})
	s.finish = sync.OnceFunc(func() { close(end) })
	t.Cleanup(s.finish)
	s.f.handler = func(w http.ResponseWriter, id string) {
		<-end
		okResponse(w, id)
	}
	if inReply {
		s.e.dropHolds()
		for i := range uint32(shards) {
			s.e.HandleEffect(control.TakeOver{Shard: view.ShardID{Service: "front", Shard: i}, Token: 2})
		}
		s.announce(t, false) // takes the keys
		s.announce(t, false) // lists them
	}
	return s
}

// announce announces the server and takes the keys of the reply.
func (s *stoppingServer) announce(t *testing.T, leaving bool) {
	t.Helper()
	s.sequence++
	a := protocol.Announcement{
		ID: "i-1", Service: "front", Addr: s.f.addr, Slots: 4, Sequence: s.sequence, BootTime: 1, Leaving: leaving, GrantsInReply: s.inReply,
	}
	if s.inReply && s.sequence > 2 {
		a.Held = []protocol.KeyRange{{First: 0, Last: shards*4 - 1, Token: 2}}
	}
	sent := time.Now()
	reply := s.e.Announce(context.Background(), a, func(grants []protocol.KeyGrant) int { return len(grants) })
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for _, g := range reply.Grants {
		for key := g.First; key <= g.Last; key += 4 {
			s.f.holdEnds[key] = sent.Add(reply.Hold)
		}
	}
}

// begin sends a request and waits until it runs. It returns a function that disconnects the caller.
func (s *stoppingServer) begin(t *testing.T, id string, key uint32) (cancel func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		req := request(id, key)
		req.TimeoutMs = 8000
		s.e.Execute(ctx, req)
	}()
	until(t, id+" runs", func() bool { return s.f.runs(id) == 1 })
	t.Cleanup(stop)
	return func() { stop(); <-done }
}

// closeIdle closes the listener and all idle connections.
func (s *stoppingServer) closeIdle() {
	_ = s.Listener.Close()
	s.Config.SetKeepAlivesEnabled(false)
}

// closeAll closes the listener and all connections.
func (s *stoppingServer) closeAll() {
	s.closeIdle()
	s.CloseClientConnections()
}

// transferred returns the shards that count as quiesced.
func (s *stoppingServer) transferred() map[uint32]bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	ids := map[uint32]bool{}
	for _, ev := range s.f.events {
		if q, ok := ev.(control.Quiesced); ok {
			ids[q.Shard.Shard] = true
		}
	}
	return ids
}

// checkHolds fails if a shard was transferred before the server's hold of it ended.
func (s *stoppingServer) checkHolds(t *testing.T) {
	t.Helper()
	done := s.transferred()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	early := 0
	for id := range done {
		if time.Now().Before(s.f.holdEnds[id*4]) {
			early++
		}
	}
	if early > 0 {
		t.Fatalf("%d shards were transferred while their server held them", early)
	}
}

// A server that was leaving closed its listener and its idle connections, and counted as ended: its
// keys were granted to others while it held them and still ran a request.
func TestLeavingServerThatRefusesConnectionsCountsAsEnded(t *testing.T) {
	for name, inReply := range map[string]bool{"orders": false, "replies": true} {
		for _, notice := range []string{"announcement", "leave notice"} {
			t.Run(name+", "+notice, func(t *testing.T) {
				is := is.New(t)
				s := startStopping(t, inReply)
				s.begin(t, "r-1", 7) // of shard 1
				if notice == "announcement" {
					s.announce(t, true)
				} else {
					is.True(s.e.Leave("i-1", 1))
				}
				s.closeIdle()
				resp := s.e.Execute(context.Background(), request("r-2", 100))
				is.Equal(kind(resp).Answer().Ran, outcome.NotRun)
				releaseAll(s.e, s.f)
				until(t, "all others transferred", func() bool {
					s.checkHolds(t)
					return len(s.transferred()) == shards-1
				})
				is.True(!s.transferred()[1])
				s.finish()
				until(t, "transferred", func() bool { return len(s.transferred()) == shards })
			})
		}
	}
}

// A request whose caller had left counted as ended with its connection: when its server then
// refused connections, its key was transferred while the server worked on it.
func TestRunOfACallerThatLeftCountsAsEnded(t *testing.T) {
	for name, inReply := range map[string]bool{"orders": false, "replies": true} {
		t.Run(name, func(t *testing.T) {
			s := startStopping(t, inReply)
			leave := s.begin(t, "r-1", 7)
			s.f.mu.Lock()
			holdEnd := s.f.holdEnds[4] // under which it began
			s.f.mu.Unlock()
			leave()
			s.closeAll()
			s.e.Execute(context.Background(), request("r-2", 100))
			releaseAll(s.e, s.f)
			until(t, "all transferred", func() bool {
				if s.transferred()[1] && time.Now().Before(holdEnd) {
					t.Fatal("the shard was transferred while its run may go on")
				}
				return len(s.transferred()) == shards
			})
		})
	}
}

// The keys of a server that was leaving were transferred once another boot announced itself, at
// its address or another, although it held them.
func TestNextBootEndsTheHoldsOfALeavingServer(t *testing.T) {
	for name, sameAddr := range map[string]bool{"at its address": true, "at another": false} {
		for way, inReply := range map[string]bool{"orders": false, "replies": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				is := is.New(t)
				s := startStopping(t, inReply)
				is.True(s.e.Leave("i-1", 1))
				s.closeIdle()
				a := protocol.Announcement{ID: "i-2", Service: "front", Addr: "127.0.0.1:1", Slots: 4, Sequence: 1, BootTime: 9}
				if sameAddr {
					a.Addr = s.f.addr
				}
				announce(s.e, a)
				releaseAll(s.e, s.f)
				until(t, "all transferred", func() bool {
					s.checkHolds(t)
					return len(s.transferred()) == shards
				})
				a.Sequence++
				is.True(announce(s.e, a)) // it is kept out no longer than that
				is.Equal(s.e.server.id, "i-2")
			})
		}
	}
}

// recovery is the time within which the keys of a lost server are served again.
const recovery = 2 * time.Second

// Waiting for the end of a hold must not delay the transfer of the keys of a server that is known to
// have crashed, nor that of the keys of any other beyond the time for a recovery. -v prints the times.
func TestTransferTime(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(*testing.T, *stoppingServer)
		crashed bool // known to have
	}{
		"crash with a run": {func(t *testing.T, s *stoppingServer) { s.begin(t, "r-1", 7); s.closeAll() }, true},
		"kill while idle":  {func(_ *testing.T, s *stoppingServer) { s.closeAll() }, true},
		"leave":            {func(_ *testing.T, s *stoppingServer) { s.e.Leave("i-1", 1) }, false},
		"leave, listener closed": {func(_ *testing.T, s *stoppingServer) {
			s.e.Leave("i-1", 1)
			s.closeIdle()
		}, false},
	} {
		for way, inReply := range map[string]bool{"orders": false, "replies": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				s := startStopping(t, inReply)
				started := time.Now()
				c.end(t, s)
				if c.crashed {
					s.e.Execute(context.Background(), request("r-2", 100)) // notices it
				}
				releaseAll(s.e, s.f)
				for inReply && name == "leave" && len(s.transferred()) < shards { // releases what no reply names
					s.sequence++
					announce(s.e, protocol.Announcement{ID: "i-1", Service: "front", Addr: s.f.addr, Slots: 4, Sequence: s.sequence,
						BootTime: 1, Leaving: true, GrantsInReply: true})
					time.Sleep(pollInterval)
				}
				until(t, "all transferred", func() bool { return len(s.transferred()) == shards })
				took := time.Since(started)
				t.Logf("%s, %s: %d ms", name, way, took.Milliseconds())
				if took > recovery {
					t.Errorf("transferred after %v, expected at most %v", took, recovery)
				}
			})
		}
	}
}
