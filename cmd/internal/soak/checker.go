package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Finding is a promise that was broken.
type Finding struct {
	At      time.Duration `json:"at"`
	Promise string        `json:"promise"`
	What    string        `json:"what"`
}

// Promises, as findings name them.
const (
	promiseOneRun    = "one run of a task at a time"
	promiseDone      = "no start after a job was said to be completed"
	promiseNotRun    = "not run is true"
	promiseRoom      = "nothing over a worker's capacity"
	promiseCrashes   = "a task that crashes its workers is started five times at most"
	promiseWhole     = "a completed job ran whole, a failed one had a cause"
	promiseOwn       = "a task is what its caller sent"
	promiseDrain     = "no start on a leaving worker"
	promiseRoute     = "no start of a dropped queue"
	promiseEvacuated = "no start in an evacuated domain"
	promiseInForce   = "configuration in force in time"
	promiseNoRevert  = "configuration never goes back"
	promiseStop      = "a planned stop cuts nothing and ends"
	promiseStaysUp   = "a process doesn't end by itself"
	promiseRecovered = "served again after the faults"
)

// life is one life of a worker, for the ledger.
type life struct {
	name     string
	domain   string
	capacity int64
	// lapsed tells whether its lease is over though its runs still show.
	lapsed func() bool

	over     bool
	draining time.Duration // when the agent had acknowledged it
	running  map[string]taskRun
}

type taskRun struct {
	run uint32
	cpu int64
}

// job is one job of a caller, for the ledger.
type job struct {
	id        string
	queue     string
	tasks     int
	begun     int
	done      map[string]bool
	failed    map[string]int // failed runs by task
	crashed   map[string]int // workers that crashed, by the task that ran there
	attempts  int            // requests that were made
	asked     time.Duration  // the last of them
	refused   int            // of them, refused
	completed bool
}

// Ledger holds the promises against what callers and workers see. Its methods take
// the time since the start and are safe for concurrent use.
type Ledger struct {
	// calm reports whether promises with a time bound hold at a moment.
	calm func(time.Duration) bool

	mu      sync.Mutex
	jobs    map[string]*job
	holders map[string]map[*life]bool // by task, where it runs
	dropped map[string]time.Duration  // queues out of the configuration, since when that is in the store
	// evacuated are failure domains, since when; two operators may have done so.
	evacuated map[string][]time.Duration
	findings  []Finding
	starts    int
}

// Bounds of promises with a time, as the stand-in platform states them.
const (
	drainBound         = 2 * time.Second
	configurationBound = 2 * time.Second
	attemptsPerTask    = 3
)

// NewLedger returns an empty ledger.
func NewLedger(calm func(time.Duration) bool) *Ledger {
	return &Ledger{
		calm: calm, jobs: map[string]*job{}, holders: map[string]map[*life]bool{}, dropped: map[string]time.Duration{},
		evacuated: map[string][]time.Duration{},
	}
}

// Break notes a broken promise.
func (l *Ledger) Break(at time.Duration, promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(at, promise, format, args...)
}

func (l *Ledger) broken(at time.Duration, promise, format string, args ...any) {
	l.findings = append(l.findings, Finding{at, promise, fmt.Sprintf(format, args...)})
}

// Findings lists what was broken so far.
func (l *Ledger) Findings() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Finding(nil), l.findings...)
}

// Starts is the number of runs so far.
func (l *Ledger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Asked notes that a caller is about to send a job, for the first time or again.
func (l *Ledger) Asked(at time.Duration, id, queue string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		j = &job{id: id, queue: queue, tasks: tasks, done: map[string]bool{}, failed: map[string]int{}, crashed: map[string]int{}}
		l.jobs[id] = j
	}
	j.attempts++
	j.asked = at
}

// Refused notes the answer that nothing ran.
func (l *Ledger) Refused(at time.Duration, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.refused++
	if j.attempts == 1 && j.begun > 0 {
		l.broken(at, promiseNotRun, "job %s was refused, and %d of its tasks had begun", id, j.begun)
	}
}

// Answered notes a job's outcome.
func (l *Ledger) Answered(at time.Duration, id string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch {
	case completed && len(j.done) < j.tasks:
		l.broken(at, promiseWhole, "job %s was said to be completed, and %d of its %d tasks had ended well", id, len(j.done), j.tasks)
	case !completed && len(j.failed) == 0 && !j.mayBeGivenUp():
		l.broken(at, promiseWhole, "job %s was said to have failed, and no run of its tasks had", id)
	}
	j.completed = j.completed || completed
}

// mayBeGivenUp reports whether two workers have crashed under one of its tasks.
func (j *job) mayBeGivenUp() bool {
	for _, n := range j.crashed {
		if n >= 2 {
			return true
		}
	}
	return false
}

// Began notes that a worker began a run.
func (l *Ledger) Began(at time.Duration, w *life, task string, run uint32, spec specification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.over {
		return
	}
	l.starts++
	name, _, _ := strings.Cut(task, ".")
	j := l.jobs[name]
	if j == nil || spec.Job != name {
		l.broken(at, promiseOwn, "task %s begins on %s with what was sent for job %q", task, w.name, spec.Job)
		return
	}
	j.begun++
	if spec.Crashes {
		l.beganCrashing(at, j, task)
	}
	l.beganJob(at, w, j, task)
	l.beganOnce(at, w, task, run)
	w.running[task] = taskRun{run, spec.CPU}
	l.beganWorker(at, w, task)
	l.beganDomain(at, w, task)
}

// crashStarts is how often a task that crashes its workers may be started: until three have
// crashed, and twice more.
const crashStarts = 5

func (l *Ledger) beganCrashing(at time.Duration, j *job, task string) {
	if j.crashed[task] >= crashStarts {
		l.broken(at, promiseCrashes, "task %s begins after %d workers have crashed under it", task, j.crashed[task])
	}
}

// Resized notes the capacity that a worker has from now on.
func (l *Ledger) Resized(w *life, cpu int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.capacity = cpu
}

func (l *Ledger) beganJob(at time.Duration, w *life, j *job, task string) {
	if j.completed {
		l.broken(at, promiseDone, "task %s begins on %s", task, w.name)
	}
	if j.attempts == 1 && j.refused == 1 {
		l.broken(at, promiseNotRun, "task %s begins on %s, and its job was refused", task, w.name)
	}
	since, dropped := l.dropped[j.queue]
	if dropped && j.asked-since > configurationBound && l.calm(j.asked) {
		l.broken(at, promiseRoute, "task %s begins on %s, and was sent %v after queue %s was dropped", task, w.name, j.asked-since, j.queue)
	}
}

func (l *Ledger) beganOnce(at time.Duration, w *life, task string, run uint32) {
	for other := range l.holders[task] {
		if other == w || other.lapsed() {
			continue
		}
		l.broken(at, promiseOneRun, "run %d of task %s begins on %s, and run %d goes on at %s",
			run, task, w.name, other.running[task].run, other.name)
	}
	if l.holders[task] == nil {
		l.holders[task] = map[*life]bool{}
	}
	l.holders[task][w] = true
}

func (l *Ledger) beganWorker(at time.Duration, w *life, task string) {
	var used int64
	for _, r := range w.running {
		used += r.cpu
	}
	if used > w.capacity {
		l.broken(at, promiseRoom, "%s has %d of %d taken with task %s", w.name, used, w.capacity, task)
	}
	if w.draining > 0 && at-w.draining > drainBound && l.calm(at) {
		l.broken(at, promiseDrain, "task %s begins on %s, %v after it said that it leaves", task, w.name, at-w.draining)
	}
}

// beganDomain holds an evacuation, where it went through calm time alone.
func (l *Ledger) beganDomain(at time.Duration, w *life, task string) {
	for _, since := range l.evacuated[w.domain] {
		if at-since > configurationBound && l.calm(at) && l.calm(since) {
			l.broken(at, promiseEvacuated, "task %s begins on %s, %v after %s was evacuated", task, w.name, at-since, w.domain)
		}
	}
}

// Evacuated notes that a failure domain was evacuated.
func (l *Ledger) Evacuated(at time.Duration, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated[domain] = append(l.evacuated[domain], at)
}

// Restored notes that a failure domain is about to be restored.
func (l *Ledger) Restored(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuated, domain)
}

// Ended notes that a run ended; how is the worker's word for it.
func (l *Ledger) Ended(w *life, task string, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.over {
		return
	}
	l.release(w, task)
	name, _, _ := strings.Cut(task, ".")
	j := l.jobs[name]
	if j == nil {
		return
	}
	switch how {
	case "done":
		j.done[task] = true
	case "failed":
		j.failed[task]++
	}
}

func (l *Ledger) release(w *life, task string) {
	delete(w.running, task)
	delete(l.holders[task], w)
	if len(l.holders[task]) == 0 {
		delete(l.holders, task)
	}
}

// LifeOver notes that a worker is gone, with all that ran on it.
func (l *Ledger) LifeOver(w *life) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.over = true
	for task := range w.running {
		name, _, _ := strings.Cut(task, ".")
		l.jobs[name].crashed[task]++
		l.release(w, task)
	}
}

// Draining notes that a worker's agent has acknowledged that it leaves.
func (l *Ledger) Draining(at time.Duration, w *life) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.draining == 0 {
		w.draining = at
	}
}

// Queues notes which queues a new version has, and which it hasn't.
func (l *Ledger) Queues(at time.Duration, has, lacks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range has {
		delete(l.dropped, q)
	}
	for _, q := range lacks {
		l.dropped[q] = at
	}
}

// CutOff reports whether a job whose caller got no answer had begun.
func (l *Ledger) CutOff(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id].begun > 0
}

// Close looks at what only shows at the end.
func (l *Ledger) Close(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.begun > 0 && j.refused == j.attempts {
			l.broken(at, promiseNotRun, "job %s was refused at each of %d attempts, and %d runs of it began", j.id, j.attempts, j.begun)
		}
	}
}
