package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	shrunkRounds = 4
	shrunkCPU    = 4000
	// shrinkSettles is how long after a worker has shrunk its new capacity counts at the latest:
	// contact_ms and one heartbeat.
	shrinkSettles = contact + heartbeat
)

// runShrunk shrinks a worker and, seconds later, kills its agent, which is started again at once.
func runShrunk(s *site, trouble bool) ([]string, error) {
	s.runs.quiet = false
	a := s.agents[0]
	// The agent writes its record of the worker some time after the first report.
	if err := s.waitForRecord(a.name); err != nil {
		return nil, err
	}
	a.worker.resize(shrunkCPU)
	shrunkAt := time.Now()
	time.Sleep(shrinkSettles + 500*time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.submitSteadily(stop) })
	for range shrunkRounds {
		time.Sleep(3 * time.Second)
		if trouble {
			a.kill()
			time.Sleep(restartAfter)
			if err := a.run(); err != nil {
				return nil, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	wg.Wait()
	var broken []string
	for _, r := range s.runs.all() {
		if r.start.Sub(shrunkAt) > shrinkSettles && r.used > r.capacity {
			broken = append(broken, fmt.Sprintf("%s run %d starts on %s at %.4f: in use %d of %d", r.task, r.run, r.worker, s.record.since(r.start), r.used, r.capacity))
		}
	}
	return broken, nil
}

// waitForRecord waits until the agent has recorded its worker in the store.
func (s *site) waitForRecord(agent string) error {
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.store.has("papayahoist/workers/" + agent) {
			s.record.log("the store has the record of %s of its worker", agent)
			return nil
		}
	}
	return fmt.Errorf("no record of the worker")
}

// submitSteadily submits jobs of six tasks until stop is closed.
func (s *site) submitSteadily(stop chan struct{}) {
	body := jobBody{Spec: spec(300*time.Millisecond, 1600), BestEffort: true, Steps: []jobStep{{Count: 6, CPU: 1600, Memory: 64, Estimated: 300}}}
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(100 * time.Millisecond):
		}
		e := s.entries[n%len(s.entries)]
		wg.Go(func() { s.submit(newID(), body, 1500*time.Millisecond, []*entryProcess{e}, false) })
	}
}
