package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func init() { cases["path"] = pathChanged }

// pathChanged sends requests, some with a character in their path that requesters send as it is. It checks UNASKED.
func pathChanged(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, 300*time.Second, 2, 2, config(7, []map[string]any{
		route("/lookup/", "storefront", "safe", 2), route("/sync/", "inventory", "safe", 4),
	}))
	if err != nil {
		return failed, err
	}
	running = append(running, f)
	if err := f.start(); err != nil {
		return failed, err
	}
	if err := f.awaitService(25 * time.Second); err != nil {
		return failed, err
	}
	paths := []string{"/lookup/5/belt-7", "/sync/5/a%2Fb?x=1&y=%7C|"}
	if trouble {
		paths = append(paths, "/lookup/5/a|b", "/sync/5/a|b")
	}
	changed := 0
	for _, path := range paths {
		n := f.nodes[0]
		id := fmt.Sprintf("%016x", rand.Uint64())
		conn, err := net.Dial("tcp", n.entry)
		if err != nil {
			return failed, err
		}
		rec.line("sent %s to %s: GET %s", id, n.name, path)
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nSesamemoor-Request-Id: %s\r\nSesamemoor-Deadline-Milliseconds: 2000\r\nX-Api-Key: %s\r\nSesamemoor-Shard-Key: 77\r\n\r\n", path, host, id, apiKey)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			rec.line("answer to %s: none (%v)", id, err)
		} else {
			rec.line("answer to %s: %d", id, resp.StatusCode)
		}
		conn.Close()
		for _, run := range rec.runsOf(id) {
			if run.uri != path {
				changed++
				rec.line("%s ran with the path %s, and was sent with %s", id, run.uri, path)
			}
		}
	}
	if changed > 0 {
		rec.line("UNASKED is broken")
		return broken, nil
	}
	return held, nil
}
