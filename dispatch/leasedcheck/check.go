package leasedcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/size"
)

// checker verifies the guarantees against what workers and callers observe.
type checker struct {
	w         *World
	running   map[string]map[*simWorker]uint32 // by task, on workers that are up
	started   map[string]bool                  // jobs of which some task has started
	succeeded map[string]bool                  // tasks that have succeeded
	// acknowledged holds the tasks of which an agent has acknowledged a success to the worker.
	acknowledged map[string]bool
	refused      map[string]bool // jobs whose attempts were all answered with NotRun
	starts       map[string]int  // by task
	r            Result
}

func (c *checker) violated(format string, args ...any) {
	text := fmt.Sprintf("%.3f s: ", c.w.now.Sub(time.Unix(1_000_000, 0)).Seconds()) + fmt.Sprintf(format, args...)
	c.w.trace("BROKEN %s", text)
	c.r.Violations = append(c.r.Violations, text)
}

// maxCrashStarts bounds the starts of a task that crashes its workers: until three workers
// have crashed, and two more.
const maxCrashStarts = 5

// callerIndex returns the index of the caller that submitted the task's job.
func callerIndex(task string) int {
	n, _ := strconv.ParseInt(jobID(task), 16, 64)
	return int(n - 1)
}

func jobID(task string) string { return task[:strings.IndexByte(task, '.')] }

func (c *checker) runStarted(s *simWorker, r *simRun) {
	c.r.Starts++
	c.w.trace("%s starts %s run %d", s.id(), r.task, r.run)
	job := jobID(r.task)
	c.started[job] = true
	if c.refused[job] {
		c.violated("%s run %d starts on %s after its job was answered as not run", r.task, r.run, s.id())
	}
	if len(c.running[r.task]) > 0 {
		c.violated("%s run %d starts on %s while another run of the task is active", r.task, r.run, s.id())
	}
	if c.w.o.CheckReadEnds && c.acknowledged[r.task] && c.w.callers[callerIndex(r.task)].attempts == 1 {
		c.violated("%s run %d starts on %s although an agent has acknowledged a success", r.task, r.run, s.id())
	}
	if c.running[r.task] == nil {
		c.running[r.task] = map[*simWorker]uint32{}
	}
	c.running[r.task][s] = r.run
	used := int64(0)
	for _, x := range s.runs {
		used += x.cpu
	}
	if used > s.effectiveCapacity() {
		c.violated("%s uses %d of %d millicores with %s", s.id(), used, s.effectiveCapacity(), r.task)
	}
	c.checkStepLimit(s, r)
	c.starts[r.task]++
}

// checkStepLimit verifies that a worker runs no more tasks of a step than may run on one.
func (c *checker) checkStepLimit(s *simWorker, r *simRun) {
	step := r.task[:strings.LastIndexByte(r.task, '.')+1]
	n, _ := strconv.Atoi(strings.Split(r.task, ".")[2])
	limit := c.w.callers[callerIndex(r.task)].job.Steps[n].MaxPerWorker
	if limit == 0 {
		return
	}
	running := 0
	for task := range s.runs {
		if strings.HasPrefix(task, step) {
			running++
		}
	}
	if running > limit {
		c.violated("%s runs %d tasks of step %s, %d may run on one worker", s.id(), running, step, limit)
	}
}

func (c *checker) runEnded(s *simWorker, task string) {
	c.w.trace("%s ends %s", s.id(), task)
	delete(c.running[task], s)
}

func (c *checker) result() Result {
	for _, x := range c.w.callers {
		if !x.finished {
			c.violated("caller of %s received no answer", x.id)
		}
	}
	for _, task := range sortedKeys(c.starts) {
		x := c.w.callers[callerIndex(task)]
		if crashesWorker(x.job.Payload) && c.starts[task] > maxCrashStarts {
			c.violated("%s, which crashes its workers, was started %d times", task, c.starts[task])
		}
	}
	c.checkEvacuations()
	return c.r
}

// caller submits one job, and resends it when its connection breaks.
type caller struct {
	w        *World
	id       string
	job      dispatcher.Job
	deadline time.Time
	attempts int
	refusals int
	finished bool
	// Set in a load only: when the job was sent, its kind and its latency objective.
	sentAt    time.Time
	kind      int
	objective time.Duration
}

// attempt is one request of a caller to an entry.
type attempt struct {
	c            *caller
	e            *entryNode
	incarnation  int
	number       uint64
	finished     bool
	read         bool      // the entry has read the request
	checkedAt    time.Time // when the entry found the connection open; zero: it has not
	closed       bool      // the connection, as the kernel of the entry's machine knows
	disconnected bool      // the entry has noticed that the connection is closed
}

// payload encodes the CPU demand in millicores and the run time of a task for simWorker.
func payload(cpu int64, runTime time.Duration) string {
	return fmt.Sprintf("%d %d", cpu, runTime.Milliseconds())
}

// crashPrefix marks the payload of a task that crashes each worker that starts it.
const crashPrefix = "crashes "

func crashesWorker(payload string) bool { return strings.HasPrefix(payload, crashPrefix) }

func payloadCPU(payload string) int64 {
	payload = strings.TrimPrefix(payload, crashPrefix)
	n, _ := strconv.ParseInt(payload[:strings.IndexByte(payload, ' ')], 10, 64)
	return n
}

func payloadRunTime(payload string) time.Duration {
	payload = strings.TrimPrefix(payload, crashPrefix)
	n, _ := strconv.ParseInt(payload[strings.IndexByte(payload, ' ')+1:], 10, 64)
	return time.Duration(n) * time.Millisecond
}

func jobName(n int) string { return fmt.Sprintf("%016x", n+1) }

func (w *World) newCaller() {
	cpu := int64(300 + w.rand.IntN(1200))
	runTime := time.Duration(30+w.rand.IntN(300)) * time.Millisecond
	if w.chance(0.2) {
		runTime += time.Duration(w.rand.IntN(1500)) * time.Millisecond
	}
	if w.chance(0.05) {
		// Longer than a caller waits before it resends after a lost connection.
		runTime += time.Duration(w.rand.IntN(4000)) * time.Millisecond
	}
	estimated := time.Duration(float64(runTime) * (0.5 + w.rand.Float64()))
	x := &caller{w: w, id: jobName(len(w.callers))}
	limit := 3*runTime + 500*time.Millisecond + w.jitter(2*time.Second)
	x.job = dispatcher.Job{
		ID: x.id, Queue: &pb.Queue{Name: "q", Service: "s", Priority: uint32(w.rand.IntN(3)), Attempts: 3, Stretch: 1.6, TargetMs: 60},
		Payload: payload(cpu, runTime), TimeLimit: limit,
		Steps: []dispatcher.Step{{Count: 1 + w.rand.IntN(5), Size: size.Size{CPUMillis: cpu}, Estimated: estimated}},
	}
	if w.o.WorkerRestarts && w.chance(0.01) {
		x.job.Payload = crashPrefix + x.job.Payload
		x.job.Steps[0].Count = 1
	}
	if w.o.MaxPerWorker > 0 {
		x.job.Steps[0].MaxPerWorker = 1 + len(w.callers)%w.o.MaxPerWorker
	}
	x.deadline = w.now.Add(limit)
	w.callers = append(w.callers, x)
	x.send()
}

func (x *caller) send() {
	if x.finished {
		return
	}
	if !x.w.now.Before(x.deadline) {
		x.finish(&x.w.checker.r.Other)
		return
	}
	x.sendTo(x.w.entries[x.w.rand.IntN(len(x.w.entries))])
}

func (x *caller) sendTo(e *entryNode) {
	x.attempts++
	if !e.up {
		x.w.schedule(resendDelay, x.send)
		return
	}
	t := x.request(e)
	if x.w.chance(0.03) {
		// The caller's own connection breaks, and it resends the job.
		x.w.schedule(x.w.jitter(300*time.Millisecond), func() { t.disconnect() })
	}
	if !e.up {
		t.connectionLost()
	}
}

// request sends the job to an entry.
func (x *caller) request(e *entryNode) *attempt {
	t := &attempt{c: x, e: e, incarnation: e.incarnation}
	x.w.schedule(time.Millisecond, func() { e.run(t.incarnation, t.submit) })
	x.w.schedule(max(0, x.deadline.Sub(x.w.now)), t.expire)
	return t
}

func (t *attempt) submit() {
	t.read = true
	if hold := t.e.suspension.Hold(t.e.w.now, t.e.steadyClock()); hold > 0 {
		t.e.after(hold, t.check)
		return
	}
	t.e.yield(t.check)
}

// check drops a request whose connection has ended.
func (t *attempt) check() {
	if t.closed {
		return
	}
	t.checkedAt = t.e.w.now
	t.e.yield(t.admit)
}

func (t *attempt) admit() {
	if !t.e.configured() {
		t.answer(dispatcher.Answer{Outcome: dispatcher.NotRun, Reason: "no configuration yet"})
		return
	}
	t.e.decide(func(now time.Time) {
		if t.closed && now.Sub(t.checkedAt) > maxCheckAge {
			return
		}
		j := t.c.job
		j.TimeLimit = t.c.deadline.Sub(now)
		if j.TimeLimit <= 0 {
			return
		}
		n, refused := t.e.core.Submit(now, j)
		if refused != nil {
			t.answer(*refused)
			return
		}
		t.number = n
		t.e.waiting[n] = append(t.e.waiting[n], t)
	})
	if t.disconnected && t.number != 0 {
		t.leave()
	}
}

// maxCheckAge is how old the check of a connection may be when its job is admitted.
const maxCheckAge = time.Millisecond

// answer delivers the entry's answer to the caller.
func (t *attempt) answer(a dispatcher.Answer) {
	if t.finished || t.c.finished {
		return
	}
	t.finished = true
	c := &t.c.w.checker
	if l := t.c.w.load; l != nil {
		t.c.finished = true
		l.jobEnded(t.c, a.Outcome, true)
		return
	}
	t.c.w.trace("%s answers %s: %v %s", t.e.name, t.c.id, a.Outcome, a.Reason)
	switch a.Outcome {
	case dispatcher.Completed:
		for i := range t.c.job.Steps[0].Count {
			if task := fmt.Sprintf("%s.0.0.%d", t.c.id, i); !c.succeeded[task] {
				c.violated("%s is answered as completed and %s has not succeeded", t.c.id, task)
			}
		}
		t.c.finish(&c.r.Completed)
	case dispatcher.NotRun:
		t.c.refusals++
		if t.c.refusals == t.c.attempts {
			c.refused[t.c.id] = true
			if c.started[t.c.id] {
				c.violated("%s is answered as not run although a task started", t.c.id)
			}
		}
		t.c.finish(&c.r.NotRun)
	case dispatcher.Unknown:
		t.c.w.schedule(resendDelay+t.c.w.jitter(200*time.Millisecond), t.c.send)
	default:
		t.c.finish(&c.r.Other)
	}
}

// connectionLost ends the attempt without an answer; the caller resends the job. With stalls,
// it does so at once if the request was not read: it knows then that nothing has run.
func (t *attempt) connectionLost() {
	if t.finished || t.c.finished {
		return
	}
	t.finished = true
	delay := resendDelay + t.c.w.jitter(200*time.Millisecond)
	if t.c.w.o.Stalls && !t.read {
		t.closed, delay = true, t.c.w.jitter(20*time.Millisecond)
	}
	t.c.w.schedule(delay, t.c.send)
}

// disconnect breaks the connection at the caller's side; the entry notices it.
func (t *attempt) disconnect() {
	if t.finished || t.c.finished {
		return
	}
	t.connectionLost()
	t.notifyEntry()
}

// expire ends the attempt at the caller's deadline.
func (t *attempt) expire() {
	if t.finished || t.c.finished {
		return
	}
	t.finished = true
	if l := t.c.w.load; l != nil {
		l.jobEnded(t.c, dispatcher.Unknown, false)
	}
	t.c.finish(&t.c.w.checker.r.Other)
	t.notifyEntry()
}

func (t *attempt) notifyEntry() {
	t.e.w.schedule(time.Millisecond, func() { t.closed = true })
	t.e.after(time.Millisecond, func() { t.e.yield(t.notice) })
}

// notice handles the end of the connection at the entry.
func (t *attempt) notice() {
	if t.e.incarnation != t.incarnation {
		return
	}
	t.disconnected = true
	if t.number != 0 {
		t.leave()
	}
}

// leave ends the job unless other attempts wait for its answer.
func (t *attempt) leave() {
	t.e.decide(func(time.Time) { t.e.drop(t.number, func(x *attempt) bool { return x == t }) })
}

func (x *caller) finish(counter *int) {
	x.finished = true
	*counter++
}

func sortedKeys[K cmp.Ordered, T any](m map[K]T) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
