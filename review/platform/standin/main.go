// Command standin plays one case of the review: it starts daemons as separate processes and
// stand-ins of the store, the backend servers and the requesters on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// current is the fleet whose processes an abort ends.
var current *fleet

func play(name, recordPath string, trouble bool) (status int) {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	rec.add("case %s, trouble %v", name, trouble)
	cases := map[string]func(*record, string, bool) error{
		"odd-announcement": oddAnnouncement, "late-announcement": lateAnnouncement,
		"late-refusal": lateRefusal, "supervised-restart": supervisedRestart, "large-bodies": largeBodies,
	}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		return couldNot
	}
	abort := func(why string) {
		fmt.Fprintln(os.Stderr, "standin:", why)
		if current != nil {
			current.stop()
		}
		_ = os.RemoveAll(dir)
		os.Exit(couldNot)
	}
	time.AfterFunc(112*time.Second, func() { abort("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; abort("interrupted") }()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that ends must not leave daemons behind
	defer func() {
		if p := recover(); p != nil {
			abort(fmt.Sprint("panic: ", p))
		}
	}()
	err = run(rec, dir, trouble)
	switch {
	case rec.broken:
		rec.add("result: broken")
		return broken
	case err != nil:
		rec.add("result: could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return couldNot
	}
	rec.add("result: held")
	fmt.Println("held")
	return held
}
