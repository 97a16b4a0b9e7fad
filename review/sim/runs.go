package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// runLog holds all runs on all workers.
type runLog struct {
	record *recorder

	mu   sync.Mutex
	runs []*runRecord
	// quiet leaves reports out of the record.
	quiet bool
}

type runRecord struct {
	worker, task string
	run          uint32
	start, end   time.Time // end is zero while it runs
	how          string
	// used is the CPU in use on the worker with this run, and capacity the worker's.
	used, capacity int64
}

func newRunLog(r *recorder) *runLog { return &runLog{record: r, quiet: true} }

func (l *runLog) startedRun(worker, task string, run uint32, at time.Time, used, capacity int64) *runRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &runRecord{worker: worker, task: task, run: run, start: at, used: used, capacity: capacity}
	l.runs = append(l.runs, r)
	l.record.logAt(at, "start %s run %d on %s, in use %d of %d", task, run, worker, used, capacity)
	return r
}

func (l *runLog) ended(r *runRecord, at time.Time, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.how = at, how
	l.record.logAt(at, "end %s run %d on %s: %s", r.task, r.run, r.worker, how)
}

func (l *runLog) reported(worker string, sequence uint64, cpu int64, status int) {
	if !l.quiet {
		l.record.log("report %d of %s, capacity %d: %d", sequence, worker, cpu, status)
	}
}

// all returns copies of the runs, in the order of their starts.
func (l *runLog) all() []runRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runRecord
	for _, r := range l.runs {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b runRecord) int { return a.start.Compare(b.start) })
	return out
}

// minOverlap is the least time for which two runs must overlap to be counted.
const minOverlap = 2 * time.Millisecond

// overlaps describes the pairs of runs of one task that ran at the same time.
func (l *runLog) overlaps() []string {
	byTask := map[string][]runRecord{}
	for _, r := range l.all() {
		if r.end.IsZero() {
			r.end = time.Now()
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	var out []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if end := earlier(a.end, b.end); end.Sub(b.start) >= minOverlap {
					out = append(out, fmt.Sprintf("%s: run %d on %s (%.4f to %.4f, %s) and run %d on %s (%.4f to %.4f, %s), %d ms together",
						task, a.run, a.worker, l.record.since(a.start), l.record.since(a.end), a.how,
						b.run, b.worker, l.record.since(b.start), l.record.since(b.end), b.how, end.Sub(b.start).Milliseconds()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
