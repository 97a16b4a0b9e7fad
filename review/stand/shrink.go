package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseShrink lets a worker's capacity shrink, and long after that kills the agent beside it, which is
// started again at once. Then jobs come whose tasks fit the room that the worker had before.
func caseShrink(s *site, trouble bool) (int, error) {
	d, err := deploy(s, false)
	if err != nil {
		return couldNot, err
	}
	entry, agent, w := d.entries[0], d.agents[0], d.workers[0]
	const smallCPU = 4000
	wide := job("200 x", step(12, 1000, 200, "requirements", onlyKind))
	narrow := job("200 x", step(4, 1000, 200, "requirements", onlyKind))
	// The agent keeps a record of its worker in the store, which it writes up to 40 s after it has met it.
	for end := time.Now().Add(50 * time.Second); !s.store.has("papayahoist/workers/" + agent.name); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			s.logf("the agent has written no record of its worker")
			break
		}
	}
	time.Sleep(time.Second)
	if r := s.call(http.MethodPost, entry.callers, "0000000000000001", wide, 1500*time.Millisecond); r.status != http.StatusOK {
		return couldNot, fmt.Errorf("the first job is not served")
	}
	w.setCPU(smallCPU)
	shrunkAt := time.Now()
	s.logf("worker %s: its capacity shrinks from %d to %d; its next reports say so", w, largeCPU, smallCPU)
	time.Sleep(contactTime + heartbeat + 1500*time.Millisecond)
	if r := s.call(http.MethodPost, entry.callers, "0000000000000002", narrow, 1500*time.Millisecond); r.status != http.StatusOK {
		return couldNot, fmt.Errorf("the second job is not served")
	}
	// At a moment between two reports.
	for n := w.reports(); w.reports() == n; {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		s.logf("%s: killed", agent.name)
		agent.kill()
		time.Sleep(100 * time.Millisecond)
		if err := agent.start(); err != nil {
			return couldNot, err
		}
		s.logf("%s: started again", agent.name)
	}
	// Clients hand in jobs; a refused one comes again.
	for i := range 15 {
		if r := s.call(http.MethodPost, entry.callers, fmt.Sprintf("%016x", 16+i), wide, 1500*time.Millisecond); r.status == http.StatusOK {
			break
		}
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	code := held
	running := map[string]bool{}
	for _, e := range s.runEvents() {
		if e.worker != w {
			continue
		}
		if e.what == "end" {
			delete(running, e.task)
			continue
		}
		running[e.task] = true
		if used := 1000 * len(running); used > smallCPU && e.at.Sub(shrunkAt) > contactTime+heartbeat {
			s.logf("BROKEN: with %s run %d, %d thousandths of a core of %d are in use, %v after the room has shrunk", e.task, e.run, used, smallCPU,
				e.at.Sub(shrunkAt).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
