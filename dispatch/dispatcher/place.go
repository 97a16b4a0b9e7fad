package dispatcher

import (
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/disabled"
	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/subset"
)

// waitlist holds the jobs of one service that have tasks to place, in order of precedence:
// jobs on time before those admitted late, then by priority, then jobs with orders before
// those without, since their running tasks would otherwise be wasted, then by latest start: of
// two jobs, the longer one has less time to spare.
type waitlist struct {
	jobs          []*job
	placementRate rate      // of work placed
	placedAt      time.Time // when work was last placed
	mix           urgencyMix
	expedite      bool // agents were asked for immediate reports because work waits
	// refusedAt is when a job was last refused for lack of free capacity.
	refusedAt time.Time
}

func comparePrecedence(a, b *job) int {
	switch {
	case a.late != b.late:
		if b.late {
			return -1
		}
		return 1
	case a.queue.Priority != b.queue.Priority:
		return int(a.queue.Priority) - int(b.queue.Priority)
	case a.ordered != b.ordered:
		if a.ordered {
			return -1
		}
		return 1
	}
	return a.startBy.Compare(b.startBy)
}

func (d *Dispatcher) waitlist(service string) *waitlist {
	w := d.waitlists[service]
	if w == nil {
		w = &waitlist{}
		d.waitlists[service] = w
	}
	return w
}

func (d *Dispatcher) enqueue(j *job) {
	if len(j.waiting) == 0 || j.queued || j.ended || j.previous != nil {
		return
	}
	w := d.waitlist(j.queue.Service)
	pos, _ := slices.BinarySearchFunc(w.jobs, j, comparePrecedence)
	w.jobs = slices.Insert(w.jobs, pos, j)
	j.queued = true
}

func (d *Dispatcher) dequeue(j *job) {
	if !j.queued {
		return
	}
	w := d.waitlist(j.queue.Service)
	w.jobs = slices.DeleteFunc(w.jobs, func(x *job) bool { return x == j })
	j.queued = false
}

// maxSkipped limits the jobs that are skipped because their own requirements can't be
// met now, so that a long list costs no more than a short one.
const maxSkipped = 32

// place orders waiting tasks at workers with free capacity, in order of precedence.
func (d *Dispatcher) place(now time.Time) {
	for _, w := range d.waitlists {
		skipped := 0
		for i := 0; i < len(w.jobs) && skipped < maxSkipped; {
			j := w.jobs[i]
			hadOrders := j.ordered
			full := d.placeJob(now, j)
			if len(j.waiting) == 0 {
				w.jobs = slices.Delete(w.jobs, i, i+1)
				j.queued = false
				continue
			}
			if full {
				break
			}
			if j.ordered != hadOrders {
				// It precedes others now; its new position takes effect at the next call.
				d.dequeue(j)
				d.enqueue(j)
			}
			skipped++
			i++
		}
	}
}

// placement is a task and the worker chosen for it.
type placement struct {
	task  *task
	step  *step
	agent *agent
	wait  time.Duration
}

// choose finds workers for the job's waiting tasks and reserves their places there. full reports
// that a task which any worker may run found none, so no later one will either.
func (d *Dispatcher) choose(now time.Time, j *job) (chosen []placement, left []*task, full bool) {
	for n, t := range j.waiting {
		s := &j.steps[t.step]
		a, wait := d.pick(now, t, s)
		if a == nil && len(t.avoid) > 0 && len(t.avoid) >= d.accepting(j.queue.Service) {
			// All workers are excluded; a second try at one is better than none.
			t.avoid = nil
			a, wait = d.pick(now, t, s)
		}
		if a == nil {
			left = append(left, t)
			if s.Requires == "" && s.MaxPerWorker == 0 && len(t.avoid) == 0 {
				return chosen, append(left, j.waiting[n+1:]...), true
			}
			continue
		}
		a.reserve(t, s)
		chosen = append(chosen, placement{t, s, a, wait})
	}
	return chosen, left, false
}

// placeJob orders what it can place, and reports whether the workers are full.
func (d *Dispatcher) placeJob(now time.Time, j *job) (full bool) {
	chosen, left, full := d.choose(now, j)
	j.waiting = left
	d.sendChosen(now, chosen)
	return full
}

func (d *Dispatcher) sendChosen(now time.Time, chosen []placement) {
	for _, p := range chosen {
		w := d.waitlist(p.task.job.queue.Service)
		w.placementRate.add(now, work(p.step.Size, p.step.expected))
		w.placedAt = now
		d.orderRate.add(now, 1)
		w.mix.add(now, p.task.job.urgency(), p.step.Size, p.step.expected)
		d.sendOrder(now, p.agent, p.task, p.step, p.wait)
	}
}

const (
	// minCandidates is the least number of workers that are compared for a task, if that
	// many can start it in time.
	minCandidates = 3
	// collisionCost is the delay added to the expected start on a full worker, compared
	// with an idle one: other entries may have filled it since its report.
	collisionCost = 8 * time.Millisecond
)

// pick returns the worker where a task is expected to end first, among the next few that are
// expected to start it within the time that it may wait. Nil: none.
//
// It must not be the best of all: entries get the same reports, up to a tenth of a second old,
// and would all choose the same worker meanwhile, which then refuses most of its orders. So
// each entry compares its share of the workers, starting where it stopped before, and more
// only while too few of them are suitable.
func (d *Dispatcher) pick(now time.Time, t *task, s *step) (best *agent, bestWait time.Duration) {
	var bestScore float64
	n := len(d.agents)
	if n == 0 {
		return nil, 0
	}
	limits := d.waitLimit(now, t)
	factor := d.overtakeFactor(now, t.job)
	needs := t.demand(now)
	remaining := max(minCandidates, n/d.sharingEntries())
	suspected := d.suspected(t)
	if suspected {
		remaining = n
	}
	if d.opts.Disabled.Has(disabled.WorkerSubset) {
		remaining = n
	}
	for range n {
		d.cursor = (d.cursor + 1) % n
		a := d.agents[d.cursor]
		if !d.mayRun(now, a, t, s) {
			continue
		}
		limit, ok := limits.at(a.timeGained(s.expected))
		wait := a.expectedWait(needs)
		if !ok || time.Duration(factor*float64(wait)) > limit {
			continue
		}
		score := float64(wait) + d.score(a, t, s)
		if suspected {
			score += float64(busyWorkerPenalty) * (1 - a.free.CPUShare(a.capacity))
		}
		if best == nil || score < bestScore {
			best, bestScore, bestWait = a, score, wait
		}
		if s.Rack == "" || a.hasLabel(s.Rack) {
			// Others are far from the task's data, and count only if there is no other.
			remaining--
		}
		if remaining == 0 {
			break
		}
	}
	return best, bestWait
}

// sharingEntries returns how many entries place work on the same worker.
func (d *Dispatcher) sharingEntries() int { return min(max(1, len(d.entries)), subset.LinksPerAgent) }

// urgency is the priority by which a job's work overtakes and is overtaken.
func (j *job) urgency() uint32 {
	if j.late {
		return lateUrgency
	}
	return j.queue.Priority
}

// overtakeFactor returns how many times longer than the work ahead of it a task of a job waits.
func (d *Dispatcher) overtakeFactor(now time.Time, j *job) float64 {
	if d.opts.Disabled.Has(disabled.Overtaking) {
		return 1
	}
	return d.waitlist(j.queue.Service).mix.overtakeFactor(now, j.urgency())
}

// servable reports whether some worker is expected to start a task while its answer is of
// use.
func (d *Dispatcher) servable(now time.Time, t *task) bool {
	s := &t.job.steps[t.step]
	limit := t.latestStart().Sub(now)
	factor := d.overtakeFactor(now, t.job)
	needs := t.demand(now)
	return slices.ContainsFunc(d.agents, func(a *agent) bool {
		wait := a.expectedWait(needs)
		if a.stepLimitReached(t, s) {
			wait += s.expected // until a task of the step ends there
		}
		return time.Duration(factor*float64(wait)) <= limit+a.timeGained(s.expected) && d.isEligible(now, a, t, s)
	})
}

// accepting returns the number of workers of a service that take orders.
func (d *Dispatcher) accepting(service string) int {
	n := 0
	for _, a := range d.agents {
		if d.takesOrders(a, service) {
			n++
		}
	}
	return n
}

// takesOrders reports whether a worker of a service takes orders now.
func (d *Dispatcher) takesOrders(a *agent, service string) bool {
	return a.session.IsUp() && a.state.GetAccepting() && a.state.GetService() == service && !d.evacuations.Has(a.domain)
}

// mayRun reports whether a worker may be given a task now.
func (d *Dispatcher) mayRun(now time.Time, a *agent, t *task, s *step) bool {
	return d.isEligible(now, a, t, s) && !a.stepLimitReached(t, s)
}

// maxOrdersPerAgent limits the orders of one agent that have not ended, all of which are searched
// whenever one ends. It is not below the size of the largest job.
const maxOrdersPerAgent = MaxTasks

// isEligible reports whether a worker may be given a task, apart from the limit of its step.
func (d *Dispatcher) isEligible(now time.Time, a *agent, t *task, s *step) bool {
	if a.healthState != place.Healthy {
		d.updateHealthState(now, a) // its time may be over
	}
	switch {
	case !d.takesOrders(a, t.job.queue.Service):
		return false
	case a.healthState == place.Suspended || a.healthState == place.Trial && len(a.live)+len(a.reserved) > 0:
		return false
	case !s.Size.FitsIn(a.capacity) || !a.hasLabel(s.Requires):
		return false
	case slices.Contains(t.avoid, a) || now.Before(a.trialUntil) || d.anySuspected(a.reserved):
		return false
	case len(a.live)+len(a.reserved) >= maxOrdersPerAgent:
		return false
	}
	return true
}

// score returns the expected delay of a task at a worker compared with an idle, healthy
// and near one of speed 1, in nanoseconds.
func (d *Dispatcher) score(a *agent, t *task, s *step) float64 {
	run := float64(a.expectedRun(s.expected))
	score := run*max(0, a.slowness-1) - timeGainedWeight*float64(a.timeGained(s.expected))
	if a.domain != d.opts.FailureDomain {
		score += float64(d.opts.DomainRoundTrip)
	}
	if s.Rack != "" && !a.hasLabel(s.Rack) {
		score += run * (d.opts.RemoteFactor - 1)
	}
	if a.state.GetColdMs() > 0 {
		score += run
	}
	used := 1 - a.free.CPUShare(a.capacity)
	return score + float64(collisionCost)*used*used
}

// outageEnd predicts how long it takes until work of a service is placed again: as long as
// none has been placed so far.
func (d *Dispatcher) outageEnd(now time.Time, w *waitlist) time.Duration {
	since := w.placedAt
	if since.IsZero() {
		since = d.startedAt
	}
	return min(now.Sub(since), maxRetryAfter)
}

// predictWait returns how long a job would wait until the work that precedes it is placed,
// at the rate of the last half second.
func (d *Dispatcher) predictWait(now time.Time, j *job) time.Duration {
	w := d.waitlist(j.queue.Service)
	ahead := 0.0
	for _, x := range w.jobs {
		if x == j || comparePrecedence(x, j) > 0 {
			continue
		}
		for _, t := range x.waiting {
			s := &x.steps[t.step]
			ahead += work(s.Size, s.expected)
		}
	}
	if ahead == 0 {
		return 0
	}
	rate := w.placementRate.perSecond(now)
	if rate == 0 {
		return d.outageEnd(now, w)
	}
	return min(time.Duration(ahead/rate*float64(time.Second)), maxRetryAfter)
}
