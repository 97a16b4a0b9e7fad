package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// A task may crash every worker that starts it. A crash at its start makes a task suspected:
// its next run goes to a worker with little else on it, and this entry sends nothing more
// there until the run has outlasted the moment at which it would crash the worker. Runs that
// had gone on for a while when their worker crashed are more likely bystanders, and so are
// those that have always begun beside others.
const (
	// startCrashes is how many workers that crash at the start of a task condemn it, if it was
	// the only one to begin at one of them: after the first crash its runs are kept apart, so
	// the next one is hardly a coincidence.
	startCrashes = 2
	// anyCrashes is the same for crashes at any time.
	anyCrashes = 3
	// trialFor is how long after a suspected task was ordered it would have crashed its
	// worker, and the agent have told of it.
	trialFor = 150 * time.Millisecond
	// crowdCost is by how much later a suspected task is taken to start on a worker that is
	// full than on an idle one.
	crowdCost = time.Second
	// sharedBy workers that crash within sharedWithin are taken to do so for a cause that they
	// share, like the loss of a rack's power.
	sharedBy     = 3
	sharedWithin = 100 * time.Millisecond
	// rememberCrashes is how long a crash counts: callers send a job again within seconds.
	rememberCrashes = time.Minute
	// maxCrashedTasks bounds the tasks remembered, a hundred bytes each.
	maxCrashedTasks = 4096
)

// crashRecord is the evidence against a task.
type crashRecord struct {
	task    string
	seen    time.Time // when the first crash was heard of
	crashes []workerCrash
}

type workerCrash struct {
	worker  string // the life that ended
	at      time.Time
	atStart bool
	alone   bool
	// shared: other workers crashed with it, so the task is not the likely cause.
	shared bool
}

// count is how many crashes are evidence against the task, how many of them were at its
// start, and at how many of these no other task began.
func (r *crashRecord) count() (all, atStart, alone int) {
	if r == nil {
		return 0, 0, 0
	}
	for _, c := range r.crashes {
		if c.shared {
			continue
		}
		all++
		if c.atStart {
			atStart++
		}
		if c.alone {
			alone++
		}
	}
	return all, atStart, alone
}

func (r *crashRecord) condemned() bool {
	all, atStart, alone := r.count()
	return atStart >= startCrashes && alone > 0 || all >= anyCrashes
}

// crashes remembers the tasks under which workers have crashed, oldest first.
type crashes struct {
	byTask map[string]*crashRecord
	order  []*crashRecord
	lately []workerCrash // one for each life
}

// take takes in one crash. An agent tells it to each entry, and again on each new link.
func (c *crashes) take(now time.Time, m *pb.TaskCrash) (taken bool) {
	c.forget(now)
	r := c.byTask[m.Task]
	if r == nil {
		r = &crashRecord{task: m.Task, seen: now}
		if c.byTask == nil {
			c.byTask = make(map[string]*crashRecord)
		}
		c.byTask[m.Task] = r
		c.order = append(c.order, r)
	}
	ofWorker := func(w workerCrash) bool { return w.worker == m.Worker }
	if slices.ContainsFunc(r.crashes, ofWorker) {
		return false
	}
	w := workerCrash{worker: m.Worker, at: now, atStart: m.AtStart, alone: m.Alone}
	r.crashes = append(r.crashes, w)
	c.lately = slices.DeleteFunc(c.lately, func(x workerCrash) bool { return now.Sub(x.at) > sharedWithin })
	if !slices.ContainsFunc(c.lately, ofWorker) {
		c.lately = append(c.lately, w)
	}
	c.share(now)
	return true
}

// share takes the crashes of the last moment to have one cause when there are several that
// no task explains: one that several workers crashed under does.
func (c *crashes) share(now time.Time) {
	if len(c.lately) < sharedBy {
		return
	}
	explained := map[string]bool{}
	for _, r := range c.order {
		for _, x := range r.crashes {
			explained[x.worker] = explained[x.worker] || len(r.crashes) > 1
		}
	}
	unexplained := 0
	for _, x := range c.lately {
		if !explained[x.worker] {
			unexplained++
		}
	}
	if unexplained < sharedBy {
		return
	}
	for _, r := range c.order {
		if x := &r.crashes[0]; len(r.crashes) == 1 && now.Sub(x.at) <= sharedWithin {
			x.shared = true
		}
	}
}

func (c *crashes) forget(now time.Time) {
	for len(c.order) > 0 && (len(c.order) > maxCrashedTasks || now.Sub(c.order[0].seen) > rememberCrashes) {
		delete(c.byTask, c.order[0].task)
		c.order = c.order[1:]
	}
}

func (c *crashes) of(t *task) *crashRecord {
	if len(c.byTask) == 0 {
		return nil // spares the name
	}
	return c.byTask[t.name()]
}

// suspected reports whether a worker crashed at the start of the task.
func (d *Dispatcher) suspected(t *task) bool {
	_, atStart, _ := d.crashes.of(t).count()
	return atStart > 0
}

// takeCrashes takes in under which tasks an agent's worker has crashed.
func (d *Dispatcher) takeCrashes(now time.Time, a *agent, told []*pb.TaskCrash) {
	for _, m := range told {
		if !d.crashes.take(now, m) {
			continue
		}
		outcome := "while it ran"
		if m.AtStart {
			outcome = "at its start"
		}
		r := d.crashes.byTask[m.Task]
		d.opts.Decided(Decision{Event: "task_crashed_worker", Task: m.Task, Agent: a.name, Outcome: outcome, Waiting: len(r.crashes), Reason: "worker: " + m.Worker})
	}
}

// refuseCondemned says why a job can't be completed by what its tasks have done to workers
// already, at this entry or another; nil: it may be.
func (d *Dispatcher) refuseCondemned(j *job) *Answer {
	for _, t := range j.waiting {
		if d.crashes.of(t).condemned() {
			return &Answer{Outcome: Failed, Reason: ReasonCrashes, Permanent: true}
		}
	}
	return nil
}

// afterLoss decides on a task whose run has ended without a result.
func (d *Dispatcher) afterLoss(now time.Time, t *task, at *agent, reason string) {
	if reason != runner.ReasonCrashed && reason != runner.ReasonCrashedLater {
		d.requeue(t.job, t)
		return
	}
	if t.job.ended {
		return
	}
	if d.crashes.of(t).condemned() {
		d.answer(now, t.job, Answer{Outcome: Failed, Reason: ReasonCrashes, Permanent: true})
		return
	}
	if reason == runner.ReasonCrashed {
		t.avoid = append(t.avoid, at)
	}
	d.requeue(t.job, t)
}
