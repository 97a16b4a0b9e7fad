package entry

import (
	"cmp"
	"math"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/estimate"
	"github.com/papayahoist/papayahoist/dispatch/health"
	"github.com/papayahoist/papayahoist/dispatch/limit"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// policy holds the state that the entry's decisions depend on: the order of waiting
// tasks and the agents for them, the contracts' limits, the estimated sizes of
// tasks, and the agents' health.
type policy struct {
	sched       *place.Scheduler
	limits      *limit.Limiter
	shares      *limit.Shares
	sizes       *estimate.Estimator
	health      *health.Tracker
	contracts   map[string]*pb.Contract // as last applied
	lastRecheck time.Time               // when recheck last ran in full
	// exchangeRequested is when an exchange with the other entries was last
	// requested, and exchangeBackoff the least time until the next request.
	exchangeRequested time.Time
	exchangeBackoff   time.Duration
	// starvedSince is when tasks began to wait because no agent has a free slot; zero
	// if none wait.
	starvedSince time.Time
	rateOpensAt  time.Time // when a rate limit next admits work of a blocked contract
}

// checkInterval is how often waiting jobs are checked for deadlines that can't be
// met any more, and contracts for changes.
const checkInterval = 50 * time.Millisecond

func newPolicy(o Options) *policy {
	limits := limit.NewLimiter()
	return &policy{
		sched:     place.NewScheduler(o.NewPicker(), limits),
		limits:    limits,
		shares:    limit.NewShares(o.Hello.Incarnation),
		sizes:     estimate.New(estimate.Options{}),
		health:    health.New(health.Options{}),
		contracts: make(map[string]*pb.Contract),
	}
}

// contract returns the contract in force, and applies its limits if it has changed.
func (e *Entry) contract(now time.Time, name string) *pb.Contract {
	c := e.opts.Contract(name)
	p := e.policy
	if c == p.contracts[name] {
		return c
	}
	p.contracts[name] = c
	applied := limit.Contract{Name: name}
	if c != nil && !c.Deleted {
		applied = limit.Contract{
			Name: name, Rate: c.Rate, Burst: c.Burst, Concurrency: c.Concurrency,
			MemoryBytes: c.MemoryBytes, MaxWaiting: c.Waiting,
		}
		p.sched.SetContract(name, classOf(c), c.Weight)
	}
	p.limits.SetContract(applied, now)
	p.shares.SetContract(name, applied.Concurrency)
	p.shares.Tick(now)
	e.applyShares(now)
	return c
}

func classOf(c *pb.Contract) place.Class {
	switch c.Class {
	case pb.Class_CLASS_URGENT:
		return place.Urgent
	case pb.Class_CLASS_BULK:
		return place.Bulk
	}
	return place.Normal
}

// applyShares applies this entry's shares of the contracts to the limits.
func (e *Entry) applyShares(now time.Time) {
	p := e.policy
	for name := range p.contracts {
		slots, total := p.shares.Share(name)
		if p.limits.SetShare(name, slots, total, now) {
			p.exchangeBackoff = 0
			p.sched.Unblock(name)
		}
	}
}

// plan returns a job's tasks with their estimated sizes, and the request to admit
// them.
func (e *Entry) plan(now time.Time, j *pb.Job, c *pb.Contract) (*place.Job, limit.Request) {
	_, largest := e.policy.sched.Pool.Largest()
	largest = cmp.Or(largest, math.MaxUint64)
	left := time.Duration(j.TimeoutMs) * time.Millisecond
	r := limit.Request{Contract: j.Contract, Tasks: len(j.Tasks), TimeLeft: left, MaxWorkerMemory: largest}
	w := &place.Job{
		ID: j.Id, Contract: j.Contract, Kind: j.Kind, Deadline: now.Add(left),
		Tasks: make([]place.Task, len(j.Tasks)),
	}
	for i, t := range j.Tasks {
		s := e.policy.sizes.Estimate(j.Contract, j.Kind, declaredOf(t), now)
		if !s.Certain {
			// An uncertain estimate must not make a job unplaceable.
			s.Memory = min(s.Memory, largest, c.MemoryBytes)
		}
		w.Tasks[i] = place.Task{Number: uint32(i), RunTime: s.Run, Memory: s.Memory}
		w.MinRunTime = s.MedianRun
		r.MaxTaskMemory = max(r.MaxTaskMemory, s.Memory)
		r.TotalRun += s.Run
		r.MinRun, r.LikelyRun = s.MinRun, s.MedianRun
	}
	place.LongestFirst(w.Tasks)
	w.DueTime = place.DueTime(now, w.Deadline, w.Tasks, e.policy.sched.Pool.Slots())
	return w, r
}

func declaredOf(t *pb.Task) estimate.Declared {
	return estimate.Declared{Memory: t.MemoryBytes, Run: time.Duration(t.RunMillis) * time.Millisecond}
}

// refusal returns the answer that refuses a new job, or nil if it may run. No task
// of it has been sent to any agent, so the outcome is "not run".
func (e *Entry) refusal(now time.Time, j *pb.Job, r limit.Request) *pb.Answer {
	p := e.policy
	r.WaitingTasks = p.sched.WaitingOf(j.Contract)
	r.Entries = len(e.otherEntries) + 1
	r.QueueWait = p.sched.Queue().EstimateWait(j.Contract, r.TotalRun, p.sched.Pool.UsableSlots())
	if refused := p.limits.Admit(r, now); refused != nil {
		return refuse(j.Id, refused.Code, refused.Message, refused.RetryAfter)
	}
	if !e.shedLower(now, j) {
		return refuse(j.Id, jobs.CodeOverloaded, "too many tasks wait at the entry", time.Second)
	}
	return nil
}

// shedLower sheds waiting jobs of lower classes while too many tasks wait, and
// reports whether the job's tasks fit then. None of the tasks shed has been sent.
func (e *Entry) shedLower(now time.Time, j *pb.Job) bool {
	p := e.policy
	for p.sched.Waiting()+len(j.Tasks) > e.opts.MaxWaiting {
		victim := p.sched.Queue().Victim(classOf(p.contracts[j.Contract]))
		if victim == nil {
			return false
		}
		e.endEarly(now, e.jobs[victim.ID], jobs.CodeOverloaded, "shed for more urgent work")
	}
	return true
}

// dropWaiting removes a job's waiting tasks from the queue.
func (e *Entry) dropWaiting(js *jobState) {
	for _, w := range e.policy.sched.Remove(js.queued) {
		js.tasks[w.Number].phase = ended
		js.openTasks--
	}
}

// release releases the capacity that a task held at its agent and in its contract.
func (e *Entry) release(a *agent, t *taskState) {
	p := e.policy
	if known := p.sched.Pool.Agent(a.hello.Agent); known != nil {
		p.sched.Pool.Ended(known, known.Units(t.start.MemoryBytes))
	}
	contract := t.job.job.Contract
	if p.limits.TaskEnded(contract, t.start.MemoryBytes) {
		p.sched.Unblock(contract)
	}
}

// recordOutcome updates the size estimates and the agent's health from a result.
func (e *Entry) recordOutcome(now time.Time, a *agent, t *taskState, res *pb.TaskResult) {
	complete := res.Outcome == pb.Outcome_OUTCOME_COMPLETE
	failed := res.Outcome == pb.Outcome_OUTCOME_FAILED
	if !complete && !failed || (failed && t.job.answer != nil) {
		// The task did not run, or was stopped because its job has been answered.
		return
	}
	j := t.job.job
	run := time.Duration(res.RunMillis) * time.Millisecond
	if complete && !t.job.dropped {
		// The payloads of a dropped job are gone, so its declarations can't be compared.
		e.policy.sizes.Report(j.Contract, j.Kind, estimate.Usage{
			Memory: res.PeakMemoryBytes, Run: run, Declared: declaredOf(j.Tasks[t.index]),
		}, now)
	}
	e.policy.health.Report(a.hello.Agent, health.Result{Contract: j.Contract, Kind: j.Kind, Failed: failed, Run: run}, now)
	e.updateAgent(now, a)
}

// updateAgent updates the scheduler's view of an agent.
func (e *Entry) updateAgent(now time.Time, a *agent) *place.Agent {
	name := a.hello.Agent
	state := e.policy.health.State(name, now)
	e.recordHealthState(now, a, state)
	if !a.session.IsUp() || a.leaving {
		state = place.Suspended
	}
	return e.policy.sched.Pool.Update(place.Agent{
		ID: name, Domain: a.hello.FailureDomain, Rack: a.hello.Rack, RTT: e.distance(a),
		Slots: int(a.hello.Slots), Memory: a.hello.MemoryBytes,
		Slowness: e.policy.health.Slowness(name), Health: state,
	})
}

func (e *Entry) distance(a *agent) time.Duration {
	if a.hello.FailureDomain == e.opts.Hello.FailureDomain {
		return 0
	}
	return e.opts.DomainRoundTrip
}

// recheck applies changes that come with time alone: limits that open, contracts,
// shares, agents' health and waiting jobs that have become infeasible.
func (e *Entry) recheck(now time.Time) {
	p := e.policy
	p.limits.Unblock(now, p.sched.Unblock)
	if now.Sub(p.lastRecheck) < checkInterval {
		return
	}
	p.lastRecheck = now
	for name := range p.contracts {
		e.contract(now, name)
	}
	e.updateDemand()
	if p.shares.Tick(now) {
		e.applyShares(now)
	}
	p.sched.RetryUnplaced()
	for _, a := range e.agents {
		if a.session.IsUp() {
			e.updateAgent(now, a)
		}
	}
	for j := p.sched.Queue().Infeasible(now); j != nil; j = p.sched.Queue().Infeasible(now) {
		e.endEarly(now, e.jobs[j.ID], jobs.CodeDeadline, "the deadline can't be met any more")
	}
}

// nextRecheck returns when recheck is due, or zero while no task waits.
func (e *Entry) nextRecheck() time.Time {
	if e.policy.sched.Waiting() == 0 {
		return time.Time{}
	}
	return link.Earlier(e.policy.lastRecheck.Add(checkInterval), e.policy.rateOpensAt)
}
