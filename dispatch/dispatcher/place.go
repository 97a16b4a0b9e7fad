package dispatcher

import (
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/place"
	"github.com/papayahoist/papayahoist/dispatch/subset"
	"github.com/papayahoist/papayahoist/dispatch/without"
)

// waitlist holds the jobs of one service that have tasks to place, in the order in
// which they go: those taken in late last, then by urgency, then those begun before those not begun, whose
// running tasks would be wasted, then by how soon they must start: of two jobs, the
// longer one has less time to lose.
type waitlist struct {
	jobs  []*job
	drain rate // work placed
	mix   mix
	eager bool // agents were told that work waits
	// refusedAt is when a job was last refused for want of room.
	refusedAt time.Time
}

func goesBefore(a, b *job) int {
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
	w := d.waits[service]
	if w == nil {
		w = &waitlist{}
		d.waits[service] = w
	}
	return w
}

func (d *Dispatcher) list(j *job) {
	if len(j.waiting) == 0 || j.listed || j.ended || j.before != nil {
		return
	}
	w := d.waitlist(j.queue.Service)
	pos, _ := slices.BinarySearchFunc(w.jobs, j, goesBefore)
	w.jobs = slices.Insert(w.jobs, pos, j)
	j.listed = true
}

func (d *Dispatcher) unlist(j *job) {
	if !j.listed {
		return
	}
	w := d.waitlist(j.queue.Service)
	w.jobs = slices.DeleteFunc(w.jobs, func(x *job) bool { return x == j })
	j.listed = false
}

// maxSkipped bounds the jobs passed over because their own requirements can't be
// met now, so that a long list costs no more than a short one.
const maxSkipped = 32

// place sends waiting tasks to workers that have room, the next job first.
func (d *Dispatcher) place(now time.Time) {
	for _, w := range d.waits {
		skipped := 0
		for i := 0; i < len(w.jobs) && skipped < maxSkipped; {
			j := w.jobs[i]
			began := j.ordered
			full := d.placeJob(now, j)
			if len(j.waiting) == 0 {
				w.jobs = slices.Delete(w.jobs, i, i+1)
				j.listed = false
				continue
			}
			if full {
				break
			}
			if j.ordered != began {
				// It goes before others now; its place is found at the next call.
				d.unlist(j)
				d.list(j)
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

// choose finds workers for the job's waiting tasks, and takes the room that they
// need from what is known to be free. Full: a task that any worker may run found
// none, so no later one will either.
func (d *Dispatcher) choose(now time.Time, j *job) (chosen []placement, left []*task, full bool) {
	for n, t := range j.waiting {
		s := &j.steps[t.step]
		a, wait := d.pick(now, t, s)
		if a == nil && len(t.avoid) > 0 && len(t.avoid) >= d.accepting(j.queue.Service) {
			// It has been everywhere; a second try beats none.
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
		a.free = a.free.Minus(s.Size)
		chosen = append(chosen, placement{t, s, a, wait})
	}
	return chosen, left, false
}

// placeJob sends what it can.
func (d *Dispatcher) placeJob(now time.Time, j *job) (full bool) {
	chosen, left, full := d.choose(now, j)
	j.waiting = left
	d.sendChosen(now, chosen)
	return full
}

func (d *Dispatcher) sendChosen(now time.Time, chosen []placement) {
	for _, p := range chosen {
		w := d.waitlist(p.task.job.queue.Service)
		w.drain.add(now, work(p.step.Size, p.step.expect))
		d.ordered.add(now, 1)
		w.mix.add(now, p.task.job.urgency(), p.step.Size, p.step.expect)
		d.send(now, p.agent, p.task, p.step, p.wait)
	}
}

const (
	// minChoice is the least number of workers that a task is offered where so many
	// can start it in time.
	minChoice = 3
	// collisionCost is how much later a task is taken to start on a worker without
	// free room than on an idle one: other entries may have filled it since.
	collisionCost = 8 * time.Millisecond
)

// pick chooses the worker where a task is expected to end first, among the next few
// that are expected to start it in the time that it may wait. Nil: none.
//
// It must not be the best of all: entries get the same reports, up to a tenth of a
// second old, and would all choose the same worker in that time, which then refuses
// most of what it is sent. So each looks at its part of the workers, from where it
// stopped before, and at more only while too few of them are fit.
func (d *Dispatcher) pick(now time.Time, t *task, s *step) (best *agent, bestWait time.Duration) {
	var bestScore float64
	n := len(d.agents)
	if n == 0 {
		return nil, 0
	}
	limit := max(0, d.mayWait(now, t)-d.marginOf(now, t.job))
	passed := d.passedBy(now, t.job)
	left := max(minChoice, n/d.sharers())
	suspected := d.suspected(t)
	if suspected {
		left = n
	}
	if d.opts.Without.Has(without.PartOfWorkers) {
		left = n
	}
	for range n {
		d.cursor = (d.cursor + 1) % n
		a := d.agents[d.cursor]
		if !d.mayRun(now, a, t, s) {
			continue
		}
		wait := a.wait(s.Size, t.job.queue.Priority, t.job.late)
		if time.Duration(passed*float64(wait)) > limit {
			continue
		}
		score := float64(wait) + d.score(a, t, s)
		if suspected {
			score += float64(crowdCost) * (1 - a.free.CPUShare(a.capacity))
		}
		if best == nil || score < bestScore {
			best, bestScore, bestWait = a, score, wait
		}
		if s.Rack == "" || a.hasLabel(s.Rack) {
			// Others are far from the task's data, and count only if there is no other.
			left--
		}
		if left == 0 {
			break
		}
	}
	return best, bestWait
}

// sharers is how many entries place work on a worker that this one does.
func (d *Dispatcher) sharers() int { return min(max(1, len(d.entries)), subset.Links) }

// urgency is by what a job's work is passed.
func (j *job) urgency() uint32 {
	if j.late {
		return lateUrgency
	}
	return j.queue.Priority
}

// passedBy is how many times longer than the work ahead of it a task of a job waits.
func (d *Dispatcher) passedBy(now time.Time, j *job) float64 {
	if d.opts.Without.Has(without.PassedBy) {
		return 1
	}
	return d.waitlist(j.queue.Service).mix.passedBy(now, j.urgency())
}

// servable reports whether some worker is expected to start a task while that is of
// use.
func (d *Dispatcher) servable(now time.Time, t *task) bool {
	s := &t.job.steps[t.step]
	limit := t.latestStart().Sub(now)
	passed := d.passedBy(now, t.job)
	return slices.ContainsFunc(d.agents, func(a *agent) bool {
		wait := a.wait(s.Size, t.job.queue.Priority, t.job.late)
		return time.Duration(passed*float64(wait)) <= limit && d.mayRun(now, a, t, s)
	})
}

// accepting counts the workers of a service that take orders.
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

// mayRun reports whether a worker may be given a task at all.
func (d *Dispatcher) mayRun(now time.Time, a *agent, t *task, s *step) bool {
	if a.standing != place.Open {
		d.updateStanding(now, a) // its time may be over
	}
	switch {
	case !d.takesOrders(a, t.job.queue.Service):
		return false
	case a.standing == place.Suspended || a.standing == place.Trial && len(a.live) > 0:
		return false
	case !s.Size.FitsIn(a.capacity) || !a.hasLabel(s.Requires):
		return false
	case slices.Contains(t.avoid, a) || now.Before(a.trialUntil):
		return false
	}
	return s.MaxPerWorker == 0 || a.ofStep(t) < s.MaxPerWorker
}

// score is the expected delay of a task at a worker against an idle, sound and
// near one, in nanoseconds.
func (d *Dispatcher) score(a *agent, t *task, s *step) float64 {
	run := float64(s.expect)
	score := run * max(0, a.slowness-1)
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

// predictWait is how long a job would wait until what goes before it is placed, at
// the pace of the last half second.
func (d *Dispatcher) predictWait(now time.Time, j *job) time.Duration {
	w := d.waitlist(j.queue.Service)
	ahead := 0.0
	for _, x := range w.jobs {
		if x == j || goesBefore(x, j) > 0 {
			continue
		}
		for _, t := range x.waiting {
			s := &x.steps[t.step]
			ahead += work(s.Size, s.expect)
		}
	}
	if ahead == 0 {
		return 0
	}
	rate := w.drain.perSecond(now)
	if rate == 0 {
		return maxRetryAfter
	}
	return min(time.Duration(ahead/rate*float64(time.Second)), maxRetryAfter)
}
