package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseForeign has another writer send one heartbeat that lacks fields, and whose address is of another
// type. It names no worker to use, and the others hold. Seconds later the worker drains.
func caseForeign(s *site, trouble bool) (int, error) {
	d, err := deploy(s, false)
	if err != nil {
		return couldNot, err
	}
	entry, w := d.entries[0], d.workers[0]
	body := job("100 x", step(4, 1000, 100, "requirements", onlyKind))
	if r := s.call(http.MethodPost, entry.callers, "0000000000000001", body, 1500*time.Millisecond); r.status != http.StatusOK {
		return couldNot, fmt.Errorf("the first job is not served")
	}
	if trouble {
		text := mustJSON(map[string]any{
			"service": "svc", "address": 7, "state": "ready", "capacity": map[string]int64{"cpu": w.cpu, "task_memory_mb": w.memory, "gpu": 0},
			"labels": w.labels, "sequence": 100000,
		})
		s.logf("another writer's heartbeat for %s: %s", w.id, text)
		s.logf("another writer's heartbeat is acknowledged: %v", sendHeartbeat(w.agent, w.id, []byte(text)))
	}
	time.Sleep(contactTime + time.Second)
	w.drain()
	acked := s.drainedAt(w)
	if acked.IsZero() {
		return couldNot, fmt.Errorf("the report that the worker drains has no ack")
	}
	// The worker serves on for a while, and its heartbeats go on saying that it drains.
	time.Sleep(time.Until(acked.Add(drainBound + 500*time.Millisecond)))
	for i := range 5 {
		s.call(http.MethodPost, entry.callers, fmt.Sprintf("%016x", 16+i), body, 1500*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
	code := held
	for _, e := range s.runEvents() {
		if e.what == "start" && e.worker == w && e.at.Sub(acked) > drainBound {
			s.logf("BROKEN: %s run %d is started on %s %v after the ack of its report that it drains", e.task, e.run, w, e.at.Sub(acked).Round(time.Millisecond))
			code = broken
		}
	}
	return code, nil
}
