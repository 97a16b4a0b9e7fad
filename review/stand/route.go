package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseRoute lets a worker crash and come back as one of another kind, while an entry hears nothing of
// the other machines (a cut of one direction), and hands in a job there that requires the first kind.
func caseRoute(s *site, trouble bool) (int, error) {
	d, err := deploy(s, true)
	if err != nil {
		return couldNot, err
	}
	entry := d.entries[0]
	body := job("50 x", step(1, 1000, 50, "requirements", onlyKind))
	if r := s.call(http.MethodPost, entry.callers, "0000000000000001", body, 1500*time.Millisecond); r.status != http.StatusOK {
		return couldNot, fmt.Errorf("the first job is not served")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		s.logf("cut: nothing of the other machines reaches %s", entry.name)
		d.first.hold(true, false)
	}
	old := d.workers[0]
	old.crash()
	time.Sleep(500 * time.Millisecond)
	next := &workerLife{
		site: s, name: old.name, id: "i-101", service: "svc", zone: old.zone, labels: []string{otherKind, old.labels[1]}, cpu: largeCPU, memory: largeMemory,
		address: old.address, agent: old.agent,
	}
	if err := next.start(); err != nil {
		return couldNot, err
	}
	s.logf("worker %s is up, with the labels %v; those before were %v", next, next.labels, old.labels)
	time.Sleep(700 * time.Millisecond)
	answered := make(chan result, 1)
	go func() {
		answered <- s.call(http.MethodPost, entry.callers, "0000000000000002", body, 1500*time.Millisecond)
	}()
	time.Sleep(700 * time.Millisecond)
	if trouble {
		d.first.hold(false, false)
		s.logf("cut: healed")
	}
	<-answered
	time.Sleep(time.Second)
	code := held
	for _, e := range s.runEvents() {
		if e.what == "start" && e.worker.labels[0] != onlyKind {
			s.logf("BROKEN: %s run %d, which requires the label %s, is started on %s with the labels %v", e.task, e.run, onlyKind, e.worker, e.worker.labels)
			code = broken
		}
	}
	return code, nil
}
