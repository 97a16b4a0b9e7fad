package dispatcher

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/runner"
)

// A task may crash every worker that starts it. A crash at its start makes a task suspected:
// its next run goes to a lightly loaded worker, and this entry places nothing else there until
// the run has outlasted the moment at which it would crash the worker. Runs that had lasted for
// a while when their worker crashed are more likely bystanders, and so are those that always
// began beside others.
const (
	// poisonStartCrashes is how many workers must crash at the start of a task to make it a
	// poison task, if it was the only one to begin at one of them. After the first crash its
	// runs are isolated, so the next crash is hardly a coincidence.
	poisonStartCrashes = 2
	// poisonCrashes is the same for crashes at any time.
	poisonCrashes = 3
	// trialPeriod is the time after the order of a suspected task in which it would have
	// crashed its worker and the agent have reported that.
	trialPeriod = 150 * time.Millisecond
	// busyWorkerPenalty is the delay added to the expected start of a suspected task on a
	// full worker, compared with an idle one.
	busyWorkerPenalty = time.Second
	// A crash of at least sharedCauseWorkers workers within sharedCauseWindow is attributed
	// to a shared cause, like the loss of a rack's power.
	sharedCauseWorkers = 3
	sharedCauseWindow  = 100 * time.Millisecond
	// crashRetention is how long a crash counts: callers retry a job within seconds.
	crashRetention = time.Minute
	// maxCrashedTasks bounds the recorded tasks, at a hundred bytes each.
	maxCrashedTasks = 4096
)

// crashRecord is the evidence against a task.
type crashRecord struct {
	task    string
	seen    time.Time // when the first crash was reported
	crashes []workerCrash
}

type workerCrash struct {
	worker  string // incarnation that crashed
	at      time.Time
	atStart bool
	alone   bool
	// shared: other workers crashed with it, so the task isn't the likely cause.
	shared bool
}

// count returns how many crashes are evidence against the task, how many of them occurred
// at its start, and how many of those while no other task began.
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

func (r *crashRecord) isPoison() bool {
	all, atStart, alone := r.count()
	return atStart >= poisonStartCrashes && alone > 0 || all >= poisonCrashes
}

// crashes records the tasks under which workers have crashed, oldest first.
type crashes struct {
	byTask map[string]*crashRecord
	order  []*crashRecord
	recent []workerCrash // one per incarnation
}

// record adds one crash. An agent reports it to each entry, and again on each new link.
func (c *crashes) record(now time.Time, m *pb.TaskCrash) (added bool) {
	c.expire(now)
	r := c.byTask[m.Task]
	if r == nil {
		r = &crashRecord{task: m.Task, seen: now}
		if c.byTask == nil {
			c.byTask = make(map[string]*crashRecord)
		}
		c.byTask[m.Task] = r
		c.order = append(c.order, r)
	}
	sameWorker := func(w workerCrash) bool { return w.worker == m.Worker }
	if slices.ContainsFunc(r.crashes, sameWorker) {
		return false
	}
	w := workerCrash{worker: m.Worker, at: now, atStart: m.AtStart, alone: m.Alone}
	r.crashes = append(r.crashes, w)
	c.recent = slices.DeleteFunc(c.recent, func(x workerCrash) bool { return now.Sub(x.at) > sharedCauseWindow })
	if !slices.ContainsFunc(c.recent, sameWorker) {
		c.recent = append(c.recent, w)
	}
	c.markShared(now)
	return true
}

// markShared attributes the recent crashes to a shared cause when several of them are not
// explained by a task under which more than one worker crashed.
func (c *crashes) markShared(now time.Time) {
	if len(c.recent) < sharedCauseWorkers {
		return
	}
	explained := map[string]bool{}
	for _, r := range c.order {
		for _, x := range r.crashes {
			explained[x.worker] = explained[x.worker] || len(r.crashes) > 1
		}
	}
	unexplained := 0
	for _, x := range c.recent {
		if !explained[x.worker] {
			unexplained++
		}
	}
	if unexplained < sharedCauseWorkers {
		return
	}
	for _, r := range c.order {
		if x := &r.crashes[0]; len(r.crashes) == 1 && now.Sub(x.at) <= sharedCauseWindow {
			x.shared = true
		}
	}
}

func (c *crashes) expire(now time.Time) {
	for len(c.order) > 0 && (len(c.order) > maxCrashedTasks || now.Sub(c.order[0].seen) > crashRetention) {
		delete(c.byTask, c.order[0].task)
		c.order = c.order[1:]
	}
}

func (c *crashes) forTask(t *task) *crashRecord {
	if len(c.byTask) == 0 {
		return nil // avoids building the name
	}
	return c.byTask[t.name()]
}

// suspected reports whether a worker crashed at the start of the task.
func (d *Dispatcher) suspected(t *task) bool {
	_, atStart, _ := d.crashes.forTask(t).count()
	return atStart > 0
}

// anySuspected reports whether one of the tasks is suspected.
func (d *Dispatcher) anySuspected(tasks []*task) bool {
	return len(d.crashes.byTask) > 0 && slices.ContainsFunc(tasks, d.suspected)
}

// applyCrashes records under which tasks an agent's worker has crashed.
func (d *Dispatcher) applyCrashes(now time.Time, a *agent, reported []*pb.TaskCrash) {
	for _, m := range reported {
		if !d.crashes.record(now, m) {
			continue
		}
		outcome := "while it ran"
		if m.AtStart {
			outcome = "at its start"
		}
		r := d.crashes.byTask[m.Task]
		d.opts.OnDecision(Decision{Event: "task_crashed_worker", Task: m.Task, Agent: a.name, Outcome: outcome, Waiting: len(r.crashes), Reason: "worker: " + m.Worker})
	}
}

// refusePoison refuses a job with a task that has already crashed workers, at this entry or
// another; nil: it has none.
func (d *Dispatcher) refusePoison(j *job) *Answer {
	for _, t := range j.waiting {
		if d.crashes.forTask(t).isPoison() {
			return &Answer{Outcome: Failed, Reason: ReasonCrashes, Permanent: true}
		}
	}
	return nil
}

// handleLoss decides on a task whose run has ended without a result.
func (d *Dispatcher) handleLoss(now time.Time, t *task, at *agent, reason string) {
	if t.job.ended {
		return
	}
	if d.crashes.forTask(t).isPoison() {
		d.answer(now, t.job, Answer{Outcome: Failed, Reason: ReasonCrashes, Permanent: true})
		return
	}
	if reason == runner.ReasonCrashedAtStart {
		t.avoid = append(t.avoid, at)
	}
	d.requeue(t.job, t)
}
