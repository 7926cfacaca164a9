package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxFrameBytes bounds one encoded frame, without its length.
	maxFrameBytes = 10 << 20
	// lengthBytes is the size of the length before each frame.
	lengthBytes = 4
	// readChunk is the first step in which the buffer of a frame grows, in bytes.
	readChunk = 16 << 10
	// readBuffer is the size of the buffer of a link, in bytes.
	readBuffer = 1 << 10
	// keepBuffer is the largest buffer returned to the pool, in bytes. It holds the long answers
	// of callers' usual requests, of 540 kB: else each leaves twice its size to the collector.
	keepBuffer = 1 << 20
)

// buffers is a pool of buffers for encoded frames.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// encode returns the frame after its length in a pooled buffer. It fails with
// outcome.BodyTooLarge for a frame that exceeds maxFrameBytes, and with
// outcome.BadRequest for one that cannot be encoded.
func encode(frame *wire.Frame) (*[]byte, error) {
	buf := buffers.Get().(*[]byte)
	data, err := proto.MarshalOptions{}.MarshalAppend(append((*buf)[:0], 0, 0, 0, 0), frame)
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "cannot encode frame: %v", err)
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

// frameReader decodes frames from a stream. It holds no memory between frames
// but its read buffer, since a daemon has thousands of links.
type frameReader struct {
	r io.Reader
	// part is what arrived of the frame at which the stream ended.
	part partialFrame
}

// partialFrame describes a frame of which not all arrived.
type partialFrame struct {
	id       uint64 // 0 if it did not arrive
	length   int    // 0 if it did not arrive
	received int
}

// partOf describes the frame of length n that begins with data.
func partOf(data []byte, n int) partialFrame {
	part := partialFrame{length: n, received: len(data)}
	if number, kind, k := protowire.ConsumeTag(data); k > 0 && number == 1 && kind == protowire.VarintType {
		if id, m := protowire.ConsumeVarint(data[k:]); m > 0 {
			part.id = id
		}
	}
	return part
}

// next returns the next frame and its size in bytes. The error is an
// outcome.Malformed for a frame that exceeds maxFrameBytes or cannot be
// decoded.
func (f *frameReader) next() (*wire.Frame, int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(f.r, length[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxFrameBytes {
		return nil, 0, outcome.New(outcome.Malformed, "frame of %d bytes exceeds %d", n, maxFrameBytes)
	}
	buf := buffers.Get().(*[]byte)
	defer recycle(buf)
	if err := f.fill(buf, int(n)); err != nil {
		return nil, 0, err
	}
	frame := new(wire.Frame)
	if err := proto.Unmarshal(*buf, frame); err != nil {
		return nil, 0, outcome.New(outcome.Malformed, "cannot decode frame: %v", err)
	}
	return frame, int(n), nil
}

// fill reads n bytes into buf. The buffer grows as bytes arrive: one step grows
// it by the bytes read so far or readChunk, whichever is more. So a peer that sends
// only a large length does not cause a large allocation.
func (f *frameReader) fill(buf *[]byte, n int) error {
	data := (*buf)[:0]
	for len(data) < n {
		have := len(data)
		step := min(n-have, max(readChunk, have))
		data = slices.Grow(data, step)[:have+step]
		if k, err := io.ReadFull(f.r, data[have:]); err != nil {
			f.part = partOf(data[:have+k], n)
			return err
		}
	}
	*buf = data
	return nil
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBuffer)}
}
