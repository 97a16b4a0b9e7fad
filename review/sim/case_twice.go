package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	twiceRounds = 12
	// longRun is how long the tasks at risk run, within the callers' time limit of 1.5 s.
	longRun = 1440 * time.Millisecond
	// killAfter is when the entry is killed at the latest, counted from the submission of its long
	// jobs, and minStarted how many of their tasks must have started for it to be killed at once.
	killAfter  = 30 * time.Millisecond
	minStarted = 16
	// freezeAfter is when the agent is frozen, counted from the kill.
	freezeAfter  = 562 * time.Millisecond
	frozenFor    = 1500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	roundLength  = 5500 * time.Millisecond
)

// runTwice kills an entry whose jobs run, and freezes the machine of one agent half a second later,
// before that has stopped the runs of the silent entry. The callers of the broken channels send their
// jobs again to another entry.
func runTwice(s *site, trouble bool) ([]string, error) {
	l := s.startLoad(45)
	var wg sync.WaitGroup
	for round := range twiceRounds {
		roundStart := time.Now()
		first := s.entries[round%len(s.entries)]
		second := s.entries[(round+1)%len(s.entries)]
		jobs := map[string]bool{}
		for range 4 {
			id := newID()
			jobs[id] = true
			body := jobBody{Spec: spec(longRun, 1600), BestEffort: true, Steps: []jobStep{{Count: 4, CPU: 1600, Memory: 64, Estimated: longRun.Milliseconds()}}}
			wg.Go(func() { s.submit(id, body, 1500*time.Millisecond, []*entryProcess{first, second}, false) })
		}
		s.waitForStarts(jobs, minStarted, killAfter)
		if trouble {
			if err := s.killAndFreeze(first, jobs); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Until(roundStart.Add(roundLength)))
	}
	wg.Wait()
	sent, served := l.stop()
	s.record.log("load: %d jobs sent, %d served", sent, served)
	if served < sent/2 {
		return nil, fmt.Errorf("%d of %d jobs of the load were served", served, sent)
	}
	return s.runs.overlaps(), nil
}

func (s *site) killAndFreeze(first *entryProcess, jobs map[string]bool) error {
	killed := time.Now()
	first.kill()
	restarted := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(killed.Add(restartAfter)))
		restarted <- first.run()
	}()
	time.Sleep(time.Until(killed.Add(freezeAfter)))
	var frozen *agentProcess
	most := 0
	for _, a := range s.agents {
		if n := a.worker.runningOf(func(job string) bool { return jobs[job] }); n > most {
			frozen, most = a, n
		}
	}
	if frozen != nil {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(frozenFor)
		frozen.signal(syscall.SIGCONT)
	} else {
		s.record.log("no run of the killed entry is left")
	}
	return <-restarted
}

// waitForStarts waits until so many tasks of the jobs have started, but not longer than limit.
func (s *site) waitForStarts(jobs map[string]bool, tasks int, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n := 0
		for _, a := range s.agents {
			n += a.worker.runningOf(func(job string) bool { return jobs[job] })
		}
		if n >= tasks {
			return
		}
	}
}
