// Command sim runs one case of the review: the project's own programs as separate processes, with
// stand-ins for clients, workers and the platform. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseFunc runs a case and returns how the rule was broken.
type caseFunc func(s *site, trouble bool) (broken []string, err error)

type caseSpec struct {
	entries, agents int
	clockRate       float64 // of the workers
	run             caseFunc
}

var cases = map[string]caseSpec{
	"twice":     {entries: 3, agents: 11, clockRate: 0.985, run: runTwice},
	"cancelled": {entries: 3, agents: 4, clockRate: 1, run: runCancelled},
	"affinity":  {entries: 3, agents: 11, clockRate: 1, run: runAffinity},
	"shrunk":    {entries: 3, agents: 3, clockRate: 1, run: runShrunk},
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit ends a case that takes too long.
	timeLimit = 115 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: sim CASE FOLDER")
		return exitNotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, with the disruption: %v", os.Args[1], trouble)
	s, err := newSite(record, "target/papayahoistd", c.entries, c.agents, c.clockRate)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s.configure(1)
		if err := s.start(); err != nil {
			done <- result{nil, err}
			return
		}
		if err := s.ready(); err != nil {
			done <- result{nil, err}
			return
		}
		broken, err := c.run(s, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("not done after %v", timeLimit)
	case sig := <-interrupted:
		r.err = fmt.Errorf("ended by %v", sig)
	}
	if r.err != nil {
		record.log("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return exitNotRun
	}
	for _, b := range r.broken {
		record.log("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(r.broken) > 0 {
		return exitBroken
	}
	record.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
