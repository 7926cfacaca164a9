// Package backendconntest provides a backend server for tests that writes some of its answers
// a second time.
package backendconntest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
)

// Copy is the form of the second copy of an answer.
type Copy string

// The forms of a copy. After one that is cut the server closes the connection.
const (
	Whole           Copy = "whole"
	TwoPieces       Copy = "in two pieces"
	CutInStatusLine Copy = "cut in its status line"
	CutInHead       Copy = "cut in its head"
	CutAfterHead    Copy = "cut after its head"
	CutInBody       Copy = "cut in its body"
)

// Copies are all forms of a copy.
var Copies = []Copy{Whole, TwoPieces, CutInStatusLine, CutInHead, CutAfterHead, CutInBody}

// Break is how answers with a length or in chunks break off: the server writes a whole answer behind
// them and keeps the connection. They are those that would be written twice otherwise.
type Break struct {
	Min, Max int  // bytes that are missing; none break off if Max is 0
	Earlier  bool // the answer behind is the one before on the connection if there is one, not the same once more
}

// Answer is an answer of the server, without the header that frames its body.
type Answer struct {
	Status int
	Header []string // lines, without the one that names the request
	Body   string
}

// Server answers requests and writes some answers a second time. Its fields must not be
// changed after Start.
type Server struct {
	IDHeader    string              // names the request in requests and answers
	Framing     backendconn.Framing // "" for those of Mixed in turn
	CloseHeader bool                // answers that end with their connection announce it
	Answer      func(*http.Request) Answer

	Every     int           // every n-th answer is written twice; 0 for none
	MaxDelay  time.Duration // of a copy
	Copy      Copy
	CopyNames bool   // copies name the request
	Odd       string // is written between an answer that ends with its connection and its copy
	Break     Break

	answers, copies, conns atomic.Int64
	read                   sync.Map // ids of requests that were read
}

// Mixed are the framings that a server without one uses in turn.
var Mixed = []backendconn.Framing{backendconn.FramingLength, backendconn.FramingChunked, backendconn.FramingLength, backendconn.FramingClose}

// framingOf returns the framing of the answer to a request.
func (s *Server) framingOf(id string) backendconn.Framing {
	if s.Framing != "" {
		return s.Framing
	}
	return Mixed[Number(id)%len(Mixed)]
}

// Copies returns how many answers were written twice.
func (s *Server) Copies() int { return int(s.copies.Load()) }

// Conns returns how many connections were opened.
func (s *Server) Conns() int { return int(s.conns.Load()) }

// Start starts the server for the duration of a test and returns its address.
func (s *Server) Start(t testing.TB) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of a connection. A copy of an answer that does not end with the
// connection is written late, before or after the next answer.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex // answers and copies are written one after the other
	r := bufio.NewReader(conn)
	earlier := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a := s.Answer(req)
		id := req.Header.Get(s.IDHeader)
		s.read.Store(id, nil)
		framing := s.framingOf(id)
		head, body := s.encode(a, framing, id)
		stutters := s.Every > 0 && s.answers.Add(1)%int64(s.Every) == 0
		if s.Break.Max > 0 && (len(body) == 0 || framing == backendconn.FramingClose) {
			stutters = false // nothing can break off
		} else if stutters && s.Break.Max > 0 {
			s.copies.Add(1)
			s.breakOff(conn, head+body, len(body), earlier, framing, a, id)
			continue
		}
		earlier = head + body
		mu.Lock()
		_, err = io.WriteString(conn, head+body)
		mu.Unlock()
		if err != nil {
			return
		}
		if stutters {
			s.copies.Add(1)
			if !s.CopyNames {
				head, body = s.encode(a, framing, "")
			}
		}
		switch {
		case framing == backendconn.FramingClose:
			if stutters {
				_, _ = io.WriteString(conn, s.Odd)
				s.writeCopy(conn, &mu, head, body)
			}
			return
		case stutters:
			go s.writeCopy(conn, &mu, head, body)
		}
	}
}

// breakOff writes an answer without some of the last bytes of its body, and one behind up to MaxDelay late.
func (s *Server) breakOff(conn net.Conn, whole string, size int, earlier string, framing backendconn.Framing, a Answer, id string) {
	next := earlier
	if !s.Break.Earlier || next == "" {
		if !s.CopyNames {
			id = ""
		}
		head, body := s.encode(a, framing, id)
		next = head + body
	}
	missing := min(size, len(next), s.Break.Min+rand.IntN(s.Break.Max-s.Break.Min+1))
	pieces := []string{next}
	if s.Copy == TwoPieces {
		first := len("HTTP") + rand.IntN(len(next)-len("HTTP")) // less may be the end of a body
		pieces = []string{next[:first], next[first:]}
	}
	_, _ = io.WriteString(conn, whole[:len(whole)-missing])
	for _, piece := range pieces {
		time.Sleep(rand.N(s.MaxDelay + 1))
		_, _ = io.WriteString(conn, piece)
	}
}

// encode returns an answer that names the request id, or none if it is "".
func (s *Server) encode(a Answer, framing backendconn.Framing, id string) (head, body string) {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d %s", a.Status, http.StatusText(a.Status))}
	if id != "" {
		lines = append(lines, s.IDHeader+": "+id)
	}
	lines = append(lines, a.Header...)
	body = a.Body
	switch framing {
	case backendconn.FramingLength:
		lines = append(lines, fmt.Sprint("Content-Length: ", len(body)))
	case backendconn.FramingChunked:
		lines = append(lines, "Transfer-Encoding: chunked")
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body += "0\r\n\r\n"
	case backendconn.FramingNone: // a body is written although there must be none
	case backendconn.FramingClose:
		if s.CloseHeader {
			lines = append(lines, "Connection: close")
		}
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n", body
}

// writeCopy writes a copy up to MaxDelay late. It closes the connection if the copy is cut.
func (s *Server) writeCopy(conn net.Conn, mu *sync.Mutex, head, body string) {
	pause := func() { time.Sleep(rand.N(s.MaxDelay + 1)) }
	data := []byte(head + body)
	first := len(data)
	switch s.Copy {
	case TwoPieces:
		first = rand.IntN(len(data))
	case CutInStatusLine:
		first = len("HTTP/1.1 ") + rand.IntN(bytes.IndexByte(data, '\r')-len("HTTP/1.1 ")) // less may be the end of a body
	case CutInHead:
		line := bytes.IndexByte(data, '\n') + 1
		first = line + rand.IntN(len(head)-line)
	case CutAfterHead:
		first = len(head)
	case CutInBody:
		first = len(head) + rand.IntN(len(body)+1)
	}
	pause()
	mu.Lock()
	defer mu.Unlock()
	_, _ = conn.Write(data[:first])
	switch s.Copy {
	case Whole:
	case TwoPieces:
		pause()
		_, _ = conn.Write(data[first:])
	default:
		_ = conn.Close()
	}
}

// Result is how a caller's request ended.
type Result struct {
	OK     bool // an answer of the server was passed on
	NotRun bool // the caller may send the request again
	Status int
	Body   string
}

// Tally counts the results of requests.
type Tally struct {
	Requests, OK, Refused int
	Foreign               int // answers passed on that are not the server's own, byte for byte
	WronglyRefused        int // requests that the server ran and that count as not run
	Example               string
}

// Want returns the server's answer to the request with a number and an id: most are 200 with
// bodies of different kinds, some refusals and some 500.
func Want(n int, id string) Answer {
	a := Answer{Status: http.StatusOK}
	switch n % 5 {
	case 1:
		a.Body = "answer to " + id
	case 2:
		a.Body = "HTTP/1.1 200 OK\r\nServer: another\r\n\r\na transcript in the answer to " + id
	case 3:
		a.Body = strings.Repeat(id+" ", 2000)
	case 4:
		a.Body = id
	}
	switch n % 11 {
	case 4:
		a.Status = http.StatusServiceUnavailable
	case 7:
		a.Status = http.StatusInternalServerError
	}
	return a
}

// ID returns the id of the n-th request, and Number its n.
func ID(n int) string { return "r-" + strconv.Itoa(n) }

// Number returns the n of ID.
func Number(id string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(id, "r-"))
	return n
}

// Play sends requests from concurrent callers and counts their results. An answer that is
// passed on must be want(n, id) for the n-th one.
func (s *Server) Play(callers, requests int, want func(n int, id string) Answer, send func(id string) Result) Tally {
	var mu sync.Mutex
	var wg sync.WaitGroup
	tally := Tally{Requests: requests}
	var next atomic.Int64
	for range callers {
		wg.Go(func() {
			for n := int(next.Add(1)); n <= requests; n = int(next.Add(1)) {
				id := ID(n)
				got, want := send(id), want(n, id)
				mu.Lock()
				switch {
				case got.OK:
					tally.OK++
					if got.Status != want.Status || got.Body != want.Body {
						tally.Foreign++
						end := got.Body[max(0, len(got.Body)-400):]
						tally.Example = fmt.Sprintf("%s got status %d and a body of %d bytes that ends in %q", id, got.Status, len(got.Body), end)
					}
				case got.NotRun:
					tally.Refused++
					if _, read := s.read.Load(id); read && want.Status != http.StatusServiceUnavailable {
						tally.WronglyRefused++
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return tally
}

// RepeatServer runs each request that it reads, also one that it ran before. On a connection that
// carries a further request it first writes the answer before once more. It returns its address.
func RepeatServer(t testing.TB, idHeader string, header func(id string) []string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var runs atomic.Int64
	s := &Server{IDHeader: idHeader}
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		last := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get(idHeader)
			head, body := s.encode(Answer{Status: http.StatusOK, Header: header(id), Body: fmt.Sprint("run ", runs.Add(1))}, backendconn.FramingLength, id)
			if _, err := io.WriteString(conn, last+head+body); err != nil {
				return
			}
			last = head + body
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// OrderServer answers orders, which are the calls whose path contains "grant" or "release", in turn
// with 200 and 409, with their number in the header Handover, and requests with 200. Each answer is
// written a second time.
type OrderServer struct {
	IDHeader string
	Header   func(id string) []string // of answers to requests
	Together bool                     // copies follow their answers at once, otherwise they precede the next one on their connection
	Names    bool                     // answers to orders name the id in IDHeader

	orders, conns atomic.Int64
}

// Conns returns how many connections were opened.
func (s *OrderServer) Conns() int { return int(s.conns.Load()) }

// Start starts the server for the duration of a test and returns its address.
func (s *OrderServer) Start(t testing.TB) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s *OrderServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	last := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		answer := s.answer(req)
		first := last
		if last = answer; s.Together {
			first = answer
		}
		if _, err := io.WriteString(conn, first+answer); err != nil {
			return
		}
	}
}

func (s *OrderServer) answer(req *http.Request) string {
	encoder := &Server{IDHeader: s.IDHeader}
	id := req.Header.Get(s.IDHeader)
	if !strings.Contains(req.URL.Path, "grant") && !strings.Contains(req.URL.Path, "release") {
		head, body := encoder.encode(Answer{Status: http.StatusOK, Header: s.Header(id), Body: id}, backendconn.FramingLength, id)
		return head + body
	}
	n := s.orders.Add(1)
	a := Answer{Status: http.StatusOK, Header: []string{fmt.Sprint("Handover: ", n)}}
	if n%2 == 0 {
		a.Status = http.StatusConflict
	}
	if !s.Names {
		id = ""
	}
	head, body := encoder.encode(a, backendconn.FramingLength, id)
	return head + body
}
