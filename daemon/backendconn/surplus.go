package backendconn

import (
	"bytes"
	"context"
	"iter"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxReadAhead is the size of the transport's read buffer: of each read, at most so much lies
// behind the end of a body.
const maxReadAhead = 4 << 10

// maxFollowerWait bounds the wait for the bytes behind a body that ends like the start of an answer.
const maxFollowerWait = 20 * time.Millisecond

// minAwaited is the least size of the start of an answer that is not common at the end of a body.
const minAwaited = len("HTTP")

// Follower is what was read behind an answer with a length on its connection.
type Follower string

// The followers of answers.
const (
	FollowerNone   Follower = ""
	FollowerAnswer Follower = "answer"         // the head of another one begins where the body ends
	FollowerRest   Follower = "rest_of_answer" // of one that begins in the body
	FollowerOther  Follower = "other"
)

// readTail holds the newest bytes that were read on a connection. It is not safe for concurrent use.
type readTail struct {
	read   int64         // bytes in all
	newest []byte        // maxReadAhead or more
	more   chan struct{} // closed by the next read; nil if nobody waits for it
}

func (r *readTail) add(data []byte) {
	r.read += int64(len(data))
	if len(r.newest)+len(data) > 2*maxReadAhead {
		keep := min(len(r.newest), max(0, maxReadAhead-len(data)))
		r.newest = append(r.newest[:0], r.newest[len(r.newest)-keep:]...)
		data = data[max(0, len(data)-maxReadAhead):]
	}
	r.newest = append(r.newest, data...)
	if r.more != nil {
		close(r.more)
		r.more = nil
	}
}

// wait returns a channel that the next read closes.
func (r *readTail) wait() <-chan struct{} {
	if r.more == nil {
		r.more = make(chan struct{})
	}
	return r.more
}

// split returns the bytes before and after an offset. It reports false if it lies beyond the bytes that are held.
func (r *readTail) split(offset int64) (before, after []byte, ok bool) {
	at := offset - (r.read - int64(len(r.newest)))
	if at < 0 || at > int64(len(r.newest)) {
		return nil, nil, false
	}
	return r.newest[:at], r.newest[at:], true
}

// headScan finds the end of the head of an answer, behind interim ones.
type headScan struct {
	partial []byte // what was read of it
	end     int64  // as an offset on the connection; 0 until it is known
}

// add looks at data, which ends at an offset on the connection.
func (h *headScan) add(data []byte, end int64) {
	if h.end != 0 || len(h.partial) > MaxHeaderBytes {
		return
	}
	if len(h.partial) > 0 {
		data = append(h.partial, data...)
	}
	for {
		size := headSize(data)
		if size == 0 {
			h.partial = bytes.Clone(data)
			return
		}
		interim := len(data) > len(protocolName)+1 && data[len(protocolName)+1] == '1'
		if data = data[size:]; !interim {
			h.partial, h.end = nil, end-int64(len(data))
			return
		}
	}
}

// headSize returns the size of the lines up to an empty one with which data begins, or 0 if
// there is none.
func headSize(data []byte) int {
	for at := bytes.IndexByte(data, '\n'); at >= 0; {
		line := data[at+1:]
		next := bytes.IndexByte(line, '\n')
		if next < 0 {
			return 0
		}
		at += 1 + next
		if next == 0 || next == 1 && line[0] == '\r' {
			return at + 1
		}
	}
	return 0
}

// observe records data that was read. The caller holds c.mu.
func (c *guardedConn) observe(data []byte) {
	if t := c.current; t != nil && !t.order {
		c.head.add(data, c.tail.read+int64(len(data)))
		if t.conn.Load() == c {
			t.bodyAt.Store(c.head.end)
		}
	}
	c.tail.add(data)
}

// beginHead is called at the start of a request. The caller holds c.mu.
func (c *guardedConn) beginHead(t *Trace) {
	c.head = headScan{}
	t.bodyAt.Store(0)
}

// behind returns the bytes that were read on the connection behind the body of the answer to the request,
// which has a length. With wait, it returns a channel that is closed once there are more, unless
// the connection is not known.
func (t *Trace) behind(body []byte, wait bool) (data []byte, more <-chan struct{}) {
	c, at := t.conn.Load(), t.bodyAt.Load()
	if c == nil || at == 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before, after, ok := c.tail.split(at + int64(len(body)))
	if !ok || !bytes.HasSuffix(before, body[len(body)-min(len(body), len(before)):]) {
		return nil, nil
	}
	if wait {
		more = c.tail.wait()
	}
	return bytes.Clone(after), more
}

// follower returns what follows the answer to the request, whose body has a length. If the body ends like
// the start of another answer, it waits for that a short time.
func (t *Trace) follower(ctx context.Context, resp *http.Response, body []byte) Follower {
	behind, more := t.behind(body, !resp.Close && t.mayBeFilled(body))
	if more == nil {
		return followerOf(body, behind)
	}
	ctx, cancel := context.WithTimeout(ctx, maxFollowerWait)
	defer cancel()
	for more != nil && len(behind) < len(statusLineStart) {
		select {
		case <-more:
			behind, more = t.behind(body, true)
		case <-ctx.Done():
			return followerOf(body, behind)
		}
	}
	return followerOf(body, behind)
}

// sawCopy records that the server wrote an answer within another one.
func (t *Trace) sawCopy() {
	if c := t.conn.Load(); c != nil && c.stutter != nil {
		c.stutter.Saw()
	}
}

// mayBeFilled reports whether a body ends in minAwaited bytes or more of the head of an answer, or
// in less and the server was seen to write bytes of no answer.
func (t *Trace) mayBeFilled(body []byte) bool {
	c := t.conn.Load()
	isSeen := c != nil && c.stutter != nil && c.stutter.Seen()
	for at := range answerStarts(body) {
		_, whole := scanHead(body[at:])
		if isSeen || !whole && len(body)-at >= minAwaited {
			return true
		}
	}
	return false
}

// followerOf classifies the bytes behind a body.
func followerOf(body, behind []byte) Follower {
	switch start := []byte(statusLineStart); {
	case len(behind) == 0:
		return FollowerNone
	case bytes.HasPrefix(behind, start):
		return FollowerAnswer
	case crossesEnd(body, behind):
		return FollowerRest
	case bytes.HasPrefix(start, behind):
		return FollowerAnswer
	}
	return FollowerOther
}

// crossesEnd reports whether an answer may begin in a body and end in the bytes behind it.
func crossesEnd(body, behind []byte) bool {
	for at := range answerStarts(body) {
		if mayStartHead(append(bytes.Clone(body[at:]), behind...)) {
			return true
		}
	}
	return false
}

// answerStarts yields where an answer may begin in a body that does not contain its end.
func answerStarts(body []byte) iter.Seq[int] {
	return func(yield func(int) bool) {
		end := body[max(0, len(body)-MaxHeaderBytes):]
		effort := maxOverlappingHeads*len(end) + MaxHeaderBytes // bytes to look at
		for at := indexFrom(end, statusLineStart, 0); at >= 0; at = indexFrom(end, statusLineStart, at+1) {
			data := end[at:]
			size, whole := scanHead(data)
			if effort -= size; effort < 0 {
				return
			}
			begins := whole && !endsWithin(data, size) || !whole && size == len(data) && mayStartHead(data)
			if begins && !yield(len(body)-len(data)) {
				return
			}
		}
		for size := min(len(body), len(statusLineStart)-1); size > 0; size-- {
			if bytes.HasSuffix(body, []byte(statusLineStart[:size])) && !yield(len(body)-size) {
				return
			}
		}
	}
}

// endsWithin reports whether an answer whose head has a size ends within data.
func endsWithin(data []byte, size int) bool {
	head, ok := startOfHead(strings.Split(string(data[:size]), "\n"))
	length, err := strconv.ParseUint(head.Header.Get("Content-Length"), 10, 32)
	return !ok || err == nil && size+int(length) <= len(data)
}

// mayStartHead reports whether data may be the start of the head of an answer.
func mayStartHead(data []byte) bool {
	if start := data[:min(len(data), len(statusLineStart))]; !strings.HasPrefix(statusLineStart, string(start)) {
		return false
	}
	if bytes.IndexByte(data, '\n') < 0 {
		return startsStatusLineOf(string(data))
	}
	_, whole := scanHead(append(bytes.Clone(data), "x:\r\n\r\n"...))
	return whole
}
