package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	affinityRounds = 8
	// affinityTasks is the number of tasks of a step of which at most one may run on one worker.
	affinityTasks = 3
	// crashedWorkers of eleven crash at once: twice the share of the site's days, rounded down.
	crashedWorkers = 3
	crashedFor     = 3 * time.Second
)

// runAffinity hands in jobs of three tasks of which at most one may run on one worker, while three of
// eleven workers are down.
func runAffinity(s *site, trouble bool) ([]string, error) {
	// All entries know all workers by then.
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	submitted := make(chan spreadJobs, 1)
	go func() { submitted <- s.submitSpread(stop) }()
	for round := range affinityRounds {
		time.Sleep(4 * time.Second)
		if trouble {
			var down []*worker
			for i := range crashedWorkers {
				down = append(down, s.agents[(round*crashedWorkers+i)%len(s.agents)].worker)
			}
			for _, w := range down {
				w.crash()
			}
			time.Sleep(crashedFor)
			for _, w := range down {
				if err := w.revive(); err != nil {
					return nil, err
				}
			}
		} else {
			time.Sleep(crashedFor)
		}
	}
	close(stop)
	jobs := <-submitted
	return jobs.crowded(s.runs), nil
}

// spreadJobs holds the ids of the jobs that were handed in by submitSpread.
type spreadJobs map[string]bool

// submitSpread submits jobs of affinityTasks tasks until stop is closed.
func (s *site) submitSpread(stop chan struct{}) spreadJobs {
	body := jobBody{Spec: spec(200*time.Millisecond, 1600), BestEffort: true, Steps: []jobStep{{
		Count: affinityTasks, CPU: 1600, Memory: 64, Estimated: 200, AntiAffinity: 1,
	}}}
	jobs := spreadJobs{}
	var wg sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return jobs
		case <-time.After(100 * time.Millisecond):
		}
		id, e := newID(), s.entries[n%len(s.entries)]
		jobs[id] = true
		wg.Go(func() { s.submit(id, body, 1500*time.Millisecond, []*entryProcess{e}, false) })
	}
}

// crowded describes the starts of tasks on a worker on which another task of the same step is at work.
func (jobs spreadJobs) crowded(l *runLog) []string {
	byJob := map[string][]runRecord{}
	for _, r := range l.all() {
		if job := jobOf(r.task); jobs[job] {
			byJob[job] = append(byJob[job], r)
		}
	}
	var out []string
	for _, runs := range byJob {
		for i, r := range runs {
			for _, o := range runs[:i] {
				if o.worker == r.worker && o.task != r.task && (o.end.IsZero() || o.end.After(r.start)) {
					out = append(out, fmt.Sprintf("%s run %d starts on %s at %.4f beside %s run %d, which ends at %.4f",
						r.task, r.run, r.worker, l.record.since(r.start), o.task, o.run, l.record.since(o.end)))
					break
				}
			}
		}
	}
	slices.Sort(out)
	return out
}
