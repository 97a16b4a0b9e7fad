package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	lateBy    = 2400 * time.Millisecond
	agentDown = 2900 * time.Millisecond
)

// caseReborn has a worker leave one start unanswered and carry it out 2.4 s later. Meanwhile the
// worker's machine loses its processes: the worker is back first, under its id, the agent later.
func caseReborn(s *site, trouble bool) (int, error) {
	var mu sync.Mutex
	var victim *workerLife
	var held workerCall
	d, err := deploy(s, false, func(w *workerLife) {
		w.keepsID = true
		if !trouble {
			return
		}
		w.onStart = func(c workerCall) bool {
			mu.Lock()
			defer mu.Unlock()
			if victim != nil {
				return true
			}
			victim, held = w, c
			s.logf("worker %s: leaves a start of %s run %d unanswered", w, c.Task, c.Run)
			return false
		}
	})
	if err != nil {
		return couldNot, err
	}
	begin := time.Now()
	answered := make(chan result, 1)
	go func() {
		answered <- s.call(http.MethodPost, d.entries[0].callers, "5c0e7a21d94b36f8", job("3000 x", step(1, 1000, 3000)), 8*time.Second)
	}()
	var crashed *workerLife
	var crashedAt time.Time
	if trouble {
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		w, c := victim, held
		mu.Unlock()
		if w == nil {
			return couldNot, fmt.Errorf("no start has come")
		}
		var agent *proc
		for i, x := range d.workers {
			if x == w {
				agent = d.agents[i]
			}
		}
		s.logf("%s: killed", agent.name)
		agent.kill()
		w.crash()
		crashed, crashedAt = w, time.Now()
		next := &workerLife{
			site: s, name: w.name, id: w.id, service: w.service, zone: w.zone, labels: w.labels, cpu: w.cpu, memory: w.memory, address: w.address,
			agent: w.agent, keepsID: true,
		}
		time.Sleep(700 * time.Millisecond)
		if err := next.start(); err != nil {
			return couldNot, err
		}
		s.logf("worker %s is up again", next)
		time.Sleep(time.Until(begin.Add(lateBy)))
		next.startLate(c)
		time.Sleep(time.Until(crashedAt.Add(agentDown)))
		if err := agent.start(); err != nil {
			return couldNot, err
		}
		s.logf("%s: started again", agent.name)
	}
	<-answered
	time.Sleep(time.Second)
	code := 0
	type place struct {
		w     *workerLife
		began time.Time
	}
	running := map[string][]place{}
	for _, e := range s.runEvents() {
		var rest []place
		for _, p := range running[e.task] {
			if p.w == crashed && e.at.After(crashedAt) {
				continue // it ended with its worker
			}
			if e.what == "end" && p.w == e.worker {
				continue
			}
			rest = append(rest, p)
		}
		if e.what == "start" {
			for _, p := range rest {
				s.logf("BROKEN: %s run %d is started on %s at %v, while a run of it goes on on %s", e.task, e.run, e.worker, e.at.Sub(begin).Round(time.Millisecond), p.w)
				code = broken
			}
			rest = append(rest, place{e.worker, e.at})
		} else if len(rest) > 0 {
			s.logf("%s has run on two workers at a time until %v", e.task, e.at.Sub(begin).Round(time.Millisecond))
		}
		running[e.task] = rest
	}
	return code, nil
}
