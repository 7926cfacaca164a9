// Package bodies reads bodies of requests and responses within a bound on the memory that
// all of them take together.
package bodies

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrNoMemory reports that all bodies together would exceed the bound.
var ErrNoMemory = errors.New("too many large bodies at once")

// firstBytes is the size of the first buffer of a body.
const firstBytes = 4 << 10

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	own    int64 // bytes of each body that are not counted
	shared int64 // bytes that all bodies may take beyond own each
	taken  atomic.Int64
}

// NewReader returns a Reader of bodies that take own bytes each without being counted, and
// shared bytes together beyond that.
func NewReader(own, shared int64) *Reader { return &Reader{own: own, shared: shared} }

// Taken returns the counted bytes that are in use.
func (r *Reader) Taken() int64 { return r.taken.Load() }

// Read reads src to its end, but no more than limit+1 bytes: a longer result than limit means
// that the body exceeds it. Memory is counted as the body grows. The caller calls release when
// it no longer needs the body, also after an error, which is ErrNoMemory or one of src.
func (r *Reader) Read(src io.Reader, limit int64) (body []byte, release func(), err error) {
	return r.ReadWithin(src, limit, func(int64) error { return nil })
}

// ReadWithin is Read for a body whose growth to a size also needs the consent of room. It
// returns the error of room.
func (r *Reader) ReadWithin(src io.Reader, limit int64, room func(size int64) error) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { r.taken.Add(-taken) }
	body, err = read(src, limit, func(size, grown int64) error {
		more := grown - max(size, r.own)
		if more <= 0 {
			return nil
		}
		taken += more
		if r.taken.Add(more) > r.shared {
			return ErrNoMemory
		}
		return nil
	}, room)
	return body, release, err
}

// ReadSized is Read for a body whose size is known. Its memory is counted before it is read,
// so that of many bodies at once those that fit are read.
func (r *Reader) ReadSized(src io.Reader, size int64) (body []byte, release func(), err error) {
	taken := max(0, size-r.own)
	release = func() { r.taken.Add(-taken) }
	if r.taken.Add(taken) > r.shared && taken > 0 {
		return nil, release, ErrNoMemory
	}
	body, err = read(src, size, func(int64, int64) error { return nil }, func(int64) error { return nil })
	return body, release, err
}

// read reads up to limit+1 bytes. It calls grow and room before each larger buffer.
func read(src io.Reader, limit int64, grow func(size, grown int64) error, room func(size int64) error) ([]byte, error) {
	body := make([]byte, 0, firstBytes)
	for int64(len(body)) <= limit {
		if len(body) == cap(body) {
			size := int64(cap(body))
			grown := min(2*size, max(limit, size)+firstBytes)
			if err := room(grown); err != nil {
				return nil, err
			}
			if err := grow(size, grown); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}
