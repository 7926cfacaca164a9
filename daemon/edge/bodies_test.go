package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// endlessBody counts the bytes that are read of it.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// A body that no frame holds was read whole before it was refused.
func TestBodyThatCannotBeForwardedIsRead(t *testing.T) {
	is := is.New(t)
	body := &endlessBody{}
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = 32 << 20
	_, release, err := ReadBody(httptest.NewRecorder(), r, 64<<20, NewBodies(284))
	release()
	is.Equal(outcome.KindOf(err), outcome.BodyTooLarge)
	is.Equal(body.read.Load(), int64(0))
	r.ContentLength = -1 // in chunks
	_, release, err = ReadBody(httptest.NewRecorder(), r, 64<<20, NewBodies(284))
	release()
	is.Equal(outcome.KindOf(err), outcome.BodyTooLarge)
	is.True(body.read.Load() < maxForwardedBytes+1<<20)
}

// Large bodies that arrived at once, each within its limit, together exceeded the memory of
// the process, which was ended with all of its requests.
func TestLargeBodiesExceedMemoryTogether(t *testing.T) {
	is := is.New(t)
	const memoryMB, requests, size = 184, 40, 8 << 20
	reader := NewBodies(memoryMB)
	var kinds sync.Map
	var wg, read sync.WaitGroup
	done := make(chan struct{})
	read.Add(requests)
	for i := range requests {
		wg.Go(func() {
			r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(&endlessBody{}, size))
			r.ContentLength = size
			body, release, err := ReadBody(httptest.NewRecorder(), r, 64<<20, reader)
			kinds.Store(i, outcome.KindOf(err))
			read.Done()
			<-done
			runtime.KeepAlive(body)
			release()
		})
	}
	read.Wait()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	is.True(m.HeapAlloc < memoryMB<<20/4)
	close(done)
	wg.Wait()
	accepted := 0
	kinds.Range(func(_, kind any) bool {
		if kind == outcome.OK {
			accepted++
		} else {
			is.Equal(kind, outcome.Overloaded)
		}
		return true
	})
	is.True(accepted > 0 && accepted < requests)
	is.Equal(reader.Taken(), int64(0))
}

// Bodies of usual size are accepted however many there are.
func TestSmallBodiesAreNotCounted(t *testing.T) {
	is := is.New(t)
	reader := NewBodies(184)
	for range 2000 {
		r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(&endlessBody{}, 24_000))
		r.ContentLength = 24_000
		_, _, err := ReadBody(httptest.NewRecorder(), r, 64<<20, reader)
		is.NoErr(err)
	}
}
