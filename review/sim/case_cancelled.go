package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	cancelledRounds = 4
	chainSteps      = 8
	// cancelAfter is when the job is cancelled, counted from its submission.
	cancelAfter = 1200 * time.Millisecond
	// entryFrozenFor is how long the entry of the job stands still.
	entryFrozenFor = 1000 * time.Millisecond
)

// runCancelled cancels a job at another entry than the one that has taken it, while that one stands
// still for a second.
func runCancelled(s *site, trouble bool) ([]string, error) {
	var broken []string
	for round := range cancelledRounds {
		owner, other := s.entries[round%len(s.entries)], s.entries[(round+1)%len(s.entries)]
		id := newID()
		body := jobBody{Spec: spec(time.Second, 1600), BestEffort: true}
		for i := range chainSteps {
			step := jobStep{Count: 1, CPU: 1600, Memory: 64, Estimated: 1000}
			if i > 0 {
				step.After = []int{i - 1}
			}
			body.Steps = append(body.Steps, step)
		}
		var wg sync.WaitGroup
		wg.Go(func() { s.submit(id, body, 14*time.Second, []*entryProcess{owner}, false) })
		time.Sleep(cancelAfter)
		calmFrom := time.Now()
		if trouble {
			owner.signal(syscall.SIGSTOP)
			calmFrom = calmFrom.Add(entryFrozenFor + contact)
			time.AfterFunc(entryFrozenFor, func() { owner.signal(syscall.SIGCONT) })
		}
		s.record.log("client: DELETE %s at %s", id, other.name)
		a := s.send(context.Background(), http.MethodDelete, other.callers, prefix+id, nil, 4*time.Second)
		s.record.logAt(a.at, "client: DELETE %s at %s: %s", id, other.name, a)
		wg.Wait()
		if a.status != http.StatusOK && a.status != http.StatusGone {
			s.record.log("the cancelling was not acknowledged")
			continue
		}
		for _, r := range s.runs.all() {
			// All machines are in touch again from calmFrom on.
			if late := r.start.Sub(a.at); jobOf(r.task) == id && late > cancelBound && r.start.After(calmFrom) {
				broken = append(broken, fmt.Sprintf("%s run %d starts on %s at %.4f, %d ms after %s acknowledged the cancelling with %d",
					r.task, r.run, r.worker, s.record.since(r.start), late.Milliseconds(), other.name, a.status))
			}
		}
	}
	return broken, nil
}
