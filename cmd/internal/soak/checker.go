package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Finding is a broken promise.
type Finding struct {
	At      time.Duration `json:"at"`
	Promise string        `json:"promise"`
	What    string        `json:"what"`
}

// Names of the promises in findings.
const (
	promiseOneRun    = "one run of a task at a time"
	promiseNoRestart = "no start after a job was said to be completed"
	promiseNotRun    = "not run is true"
	promiseCapacity  = "nothing over a worker's capacity"
	promiseCrashes   = "a task that crashes its workers is started five times at most"
	promiseComplete  = "a completed job ran whole, a failed one had a cause"
	promisePayload   = "a task is what its caller sent"
	promiseDrain     = "no start on a leaving worker"
	promiseRoute     = "no start of a dropped queue"
	promiseEvacuated = "no start in an evacuated domain"
	promiseInForce   = "configuration in force in time"
	promiseNoRevert  = "configuration never goes back"
	promiseStop      = "a planned stop cuts nothing and ends"
	promiseStaysUp   = "a process doesn't end by itself"
	promiseRecovered = "served again after the faults"
	// promiseRelays concerns the soak itself: faults that aren't reverted would void
	// the other checks.
	promiseRelays = "a relay listens again after a refusal"
)

// workerIncarnation is one incarnation of a worker.
type workerIncarnation struct {
	name     string
	domain   string
	capacity int64
	// leaseLapsed reports whether its lease has lapsed, although its runs are
	// still listed.
	leaseLapsed func() bool

	gone          bool
	drainingSince time.Duration // when the agent acknowledged it
	running       map[string]taskRun
}

type taskRun struct {
	run uint32
	cpu int64
}

// jobRecord is what is known of one job of a caller.
type jobRecord struct {
	id             string
	queue          string
	tasks          int
	startedRuns    int
	doneTasks      map[string]bool
	failedRuns     map[string]int // failed runs, by task
	crashedWorkers map[string]int // crashed workers, by the task that ran on them
	attempts       int            // requests sent
	lastSent       time.Duration  // when the last request was sent
	refused        int            // requests refused
	completed      bool
}

// Checker checks the promises against what callers and workers observe. Its
// methods take the time since the start and are safe for concurrent use.
type Checker struct {
	// calm reports whether promises with a time bound apply at a given time.
	calm func(time.Duration) bool

	mu            sync.Mutex
	jobs          map[string]*jobRecord
	runningOn     map[string]map[*workerIncarnation]bool // workers that run the task, by task
	droppedQueues map[string]time.Duration               // queues removed from the configuration, and when that was stored
	// evacuatedDomains lists when each domain was evacuated; evacuations may
	// overlap.
	evacuatedDomains map[string][]time.Duration
	findings         []Finding
	starts           int
}

// Time bounds and attempts that the stand-in platform promises.
const (
	drainBound         = 2 * time.Second
	configurationBound = 2 * time.Second
	attemptsPerTask    = 3
)

// NewChecker returns a Checker without records. calm reports whether promises with
// a time bound apply at a given time.
func NewChecker(calm func(time.Duration) bool) *Checker {
	return &Checker{
		calm: calm, jobs: map[string]*jobRecord{}, runningOn: map[string]map[*workerIncarnation]bool{}, droppedQueues: map[string]time.Duration{},
		evacuatedDomains: map[string][]time.Duration{},
	}
}

// AddFinding records a broken promise.
func (l *Checker) AddFinding(at time.Duration, promise, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addFinding(at, promise, format, args...)
}

func (l *Checker) addFinding(at time.Duration, promise, format string, args ...any) {
	l.findings = append(l.findings, Finding{at, promise, fmt.Sprintf(format, args...)})
}

// Findings returns the promises broken so far.
func (l *Checker) Findings() []Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Finding(nil), l.findings...)
}

// Starts returns the number of runs started so far.
func (l *Checker) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// JobSent records that a caller is about to send a job or to send it again.
func (l *Checker) JobSent(at time.Duration, id, queue string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		j = &jobRecord{id: id, queue: queue, tasks: tasks, doneTasks: map[string]bool{}, failedRuns: map[string]int{}, crashedWorkers: map[string]int{}}
		l.jobs[id] = j
	}
	j.attempts++
	j.lastSent = at
}

// JobRefused records a response which states that no task has started.
func (l *Checker) JobRefused(at time.Duration, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	j.refused++
	if j.attempts == 1 && j.startedRuns > 0 {
		l.addFinding(at, promiseNotRun, "job %s was refused after %d of its tasks had started", id, j.startedRuns)
	}
}

// JobAnswered records the outcome of a job.
func (l *Checker) JobAnswered(at time.Duration, id string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch {
	case completed && len(j.doneTasks) < j.tasks:
		l.addFinding(at, promiseComplete, "job %s was reported as completed, but only %d of its %d tasks had succeeded", id, len(j.doneTasks), j.tasks)
	case !completed && len(j.failedRuns) == 0 && !j.mayBeAbandoned():
		l.addFinding(at, promiseComplete, "job %s was reported as failed, but no run of its tasks had failed", id)
	}
	j.completed = j.completed || completed
}

// mayBeAbandoned reports whether two workers have crashed under one of its tasks.
func (j *jobRecord) mayBeAbandoned() bool {
	for _, n := range j.crashedWorkers {
		if n >= 2 {
			return true
		}
	}
	return false
}

// RunStarted records that a worker started a run.
func (l *Checker) RunStarted(at time.Duration, w *workerIncarnation, task string, run uint32, spec specification) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.gone {
		return
	}
	l.starts++
	name, _, _ := strings.Cut(task, ".")
	j := l.jobs[name]
	if j == nil || spec.Job != name {
		l.addFinding(at, promisePayload, "task %s starts on %s with the payload of job %q", task, w.name, spec.Job)
		return
	}
	j.startedRuns++
	if spec.Crashes {
		l.checkCrashes(at, j, task)
	}
	l.checkJob(at, w, j, task)
	l.checkSingleRun(at, w, task, run)
	w.running[task] = taskRun{run, spec.CPU}
	l.checkWorker(at, w, task)
	l.checkDomain(at, w, task)
}

// maxCrashStarts is how often a task that crashes its workers may be started: until
// three workers have crashed, and twice more.
const maxCrashStarts = 5

func (l *Checker) checkCrashes(at time.Duration, j *jobRecord, task string) {
	if j.crashedWorkers[task] >= maxCrashStarts {
		l.addFinding(at, promiseCrashes, "task %s starts after %d workers have crashed under it", task, j.crashedWorkers[task])
	}
}

// WorkerResized records the capacity that a worker has from now on.
func (l *Checker) WorkerResized(w *workerIncarnation, cpu int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.capacity = cpu
}

func (l *Checker) checkJob(at time.Duration, w *workerIncarnation, j *jobRecord, task string) {
	if j.completed {
		l.addFinding(at, promiseNoRestart, "task %s starts on %s", task, w.name)
	}
	if j.attempts == 1 && j.refused == 1 {
		l.addFinding(at, promiseNotRun, "task %s starts on %s, but its job was refused", task, w.name)
	}
	since, dropped := l.droppedQueues[j.queue]
	if dropped && j.lastSent-since > configurationBound && l.calm(j.lastSent) {
		l.addFinding(at, promiseRoute, "task %s starts on %s, but was sent %v after queue %s was dropped", task, w.name, j.lastSent-since, j.queue)
	}
}

func (l *Checker) checkSingleRun(at time.Duration, w *workerIncarnation, task string, run uint32) {
	for other := range l.runningOn[task] {
		if other == w || other.leaseLapsed() {
			continue
		}
		l.addFinding(at, promiseOneRun, "run %d of task %s starts on %s while run %d continues on %s",
			run, task, w.name, other.running[task].run, other.name)
	}
	if l.runningOn[task] == nil {
		l.runningOn[task] = map[*workerIncarnation]bool{}
	}
	l.runningOn[task][w] = true
}

func (l *Checker) checkWorker(at time.Duration, w *workerIncarnation, task string) {
	var used int64
	for _, r := range w.running {
		used += r.cpu
	}
	if used > w.capacity {
		l.addFinding(at, promiseCapacity, "%s has %d of %d CPU in use with task %s", w.name, used, w.capacity, task)
	}
	if w.drainingSince > 0 && at-w.drainingSince > drainBound && l.calm(at) {
		l.addFinding(at, promiseDrain, "task %s starts on %s, %v after its drain was acknowledged", task, w.name, at-w.drainingSince)
	}
}

// checkDomain checks an evacuation if both its start and this run's start are in
// calm time.
func (l *Checker) checkDomain(at time.Duration, w *workerIncarnation, task string) {
	for _, since := range l.evacuatedDomains[w.domain] {
		if at-since > configurationBound && l.calm(at) && l.calm(since) {
			l.addFinding(at, promiseEvacuated, "task %s starts on %s, %v after %s was evacuated", task, w.name, at-since, w.domain)
		}
	}
}

// DomainEvacuated records that a failure domain was evacuated.
func (l *Checker) DomainEvacuated(at time.Duration, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuatedDomains[domain] = append(l.evacuatedDomains[domain], at)
}

// DomainRestored records that a failure domain is about to be restored.
func (l *Checker) DomainRestored(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.evacuatedDomains, domain)
}

// RunEnded records that a run ended, with the outcome that the worker reports.
func (l *Checker) RunEnded(w *workerIncarnation, task string, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.gone {
		return
	}
	l.removeRun(w, task)
	name, _, _ := strings.Cut(task, ".")
	j := l.jobs[name]
	if j == nil {
		return
	}
	switch how {
	case "done":
		j.doneTasks[task] = true
	case "failed":
		j.failedRuns[task]++
	}
}

func (l *Checker) removeRun(w *workerIncarnation, task string) {
	delete(w.running, task)
	delete(l.runningOn[task], w)
	if len(l.runningOn[task]) == 0 {
		delete(l.runningOn, task)
	}
}

// WorkerGone records that a worker is gone together with its runs.
func (l *Checker) WorkerGone(w *workerIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.gone = true
	for task := range w.running {
		name, _, _ := strings.Cut(task, ".")
		l.jobs[name].crashedWorkers[task]++
		l.removeRun(w, task)
	}
}

// WorkerDraining records that a worker's agent has acknowledged its drain.
func (l *Checker) WorkerDraining(at time.Duration, w *workerIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.drainingSince == 0 {
		w.drainingSince = at
	}
}

// QueuesChanged records which queues a new version contains and which it lacks.
func (l *Checker) QueuesChanged(at time.Duration, has, lacks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range has {
		delete(l.droppedQueues, q)
	}
	for _, q := range lacks {
		l.droppedQueues[q] = at
	}
}

// HasStarted reports whether a job whose caller got no answer had started.
func (l *Checker) HasStarted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id].startedRuns > 0
}

// CheckFinal performs the checks that are only possible at the end.
func (l *Checker) CheckFinal(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.startedRuns > 0 && j.refused == j.attempts {
			l.addFinding(at, promiseNotRun, "job %s was refused at each of %d attempts, but %d of its runs started", j.id, j.attempts, j.startedRuns)
		}
	}
}
