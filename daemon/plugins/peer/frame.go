package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 10 << 20
	// lengthBytes is the size of the length before each frame.
	lengthBytes = 4
	// readChunk is the first step in which the buffer of a frame grows, in bytes.
	readChunk = 16 << 10
	// readBuffer is the size of the buffer of a link, in bytes.
	readBuffer = 32 << 10
	// keepBuffer is the largest buffer kept for the next frame, in bytes.
	keepBuffer = 256 << 10
)

// buffers holds encoded frames on their way to a writer.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// encode returns the frame with its length in a pooled buffer. It fails with
// outcome.BodyTooLarge for a frame that exceeds maxFrameBytes.
func encode(frame *wire.Frame) (*[]byte, error) {
	buf := buffers.Get().(*[]byte)
	data, err := proto.MarshalOptions{}.MarshalAppend(append((*buf)[:0], 0, 0, 0, 0), frame)
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "frame not encodable: %v", err)
	}
	*buf = data
	n := len(data) - lengthBytes
	if n > maxFrameBytes {
		return nil, outcome.New(outcome.BodyTooLarge, "frame of %d bytes exceeds %d", n, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(data, uint32(n))
	return buf, nil
}

// recycle returns the buffer of an encoded frame to the pool.
func recycle(buf *[]byte) {
	if cap(*buf) <= keepBuffer {
		buffers.Put(buf)
	}
}

// frameReader decodes frames from a stream.
type frameReader struct {
	r   io.Reader
	buf []byte
}

// next returns the next frame and its size in bytes. The error is an
// outcome.Malformed for a frame that is too long or not decodable.
func (f *frameReader) next() (*wire.Frame, int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(f.r, length[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return nil, 0, outcome.New(outcome.Malformed, "frame of %d bytes exceeds %d", n, maxFrameBytes)
	}
	data, err := f.fill(int(n))
	if err != nil {
		return nil, 0, err
	}
	frame := new(wire.Frame)
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, 0, outcome.New(outcome.Malformed, "frame not decodable: %v", err)
	}
	return frame, int(n), nil
}

// fill reads n bytes. The buffer grows as bytes arrive, never ahead of them by
// more than their number and readChunk.
func (f *frameReader) fill(n int) ([]byte, error) {
	buf := f.buf[:0]
	for len(buf) < n {
		have := len(buf)
		step := min(n-have, max(readChunk, have))
		buf = slices.Grow(buf, step)[:have+step]
		if _, err := io.ReadFull(f.r, buf[have:]); err != nil {
			return nil, err
		}
	}
	f.buf = nil
	if cap(buf) <= keepBuffer {
		f.buf = buf
	}
	return buf, nil
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBuffer)}
}
