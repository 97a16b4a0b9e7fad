package entry

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// queue holds the waiting tasks of each contract in the order they came.
type queue struct {
	contracts []*contractQueue
	byName    map[string]*contractQueue
	total     int
}

type contractQueue struct {
	name  string
	class pb.Class
	tasks []*taskState
}

func (q *queue) push(c *pb.Contract, t *taskState) {
	name := t.job.job.Contract
	cq := q.byName[name]
	if cq == nil {
		cq = &contractQueue{name: name}
		if q.byName == nil {
			q.byName = make(map[string]*contractQueue)
		}
		q.byName[name] = cq
		q.contracts = append(q.contracts, cq)
	}
	if c != nil {
		cq.class = c.Class
	}
	cq.tasks = append(cq.tasks, t)
	q.total++
}

func (q *queue) waiting(contract string) int {
	if cq := q.byName[contract]; cq != nil {
		return len(cq.tasks)
	}
	return 0
}

func (q *queue) remove(t *taskState) {
	cq := q.byName[t.job.job.Contract]
	if cq == nil {
		return
	}
	for i, x := range cq.tasks {
		if x == t {
			cq.tasks = append(cq.tasks[:i], cq.tasks[i+1:]...)
			q.total--
			t.phase = ended
			t.job.open--
			return
		}
	}
}

// pop takes the first task of the most urgent class.
func (q *queue) pop() *taskState {
	var best *contractQueue
	for _, cq := range q.contracts {
		if len(cq.tasks) > 0 && (best == nil || cq.class < best.class) {
			best = cq
		}
	}
	if best == nil {
		return nil
	}
	t := best.tasks[0]
	best.tasks = best.tasks[1:]
	q.total--
	return t
}

// place sends waiting tasks to agents that have granted credits, and tells the
// agents how many more the entry could use.
func (e *Entry) place(now time.Time) {
	for e.queue.total > 0 {
		a := e.richest()
		if a == nil {
			break
		}
		t := e.queue.pop()
		a.credits--
		a.track(t)
	}
	e.tellWant()
}

func (e *Entry) richest() *agent {
	var best *agent
	for _, a := range e.agents {
		if a.credits > 0 && a.session.IsUp() && !a.leaving && (best == nil || a.credits > best.credits) {
			best = a
		}
	}
	return best
}

// tellWant spreads the unmet demand over the linked agents. Only a change from
// or to nothing is worth a frame of its own.
func (e *Entry) tellWant() {
	var up []*agent
	for _, a := range e.agents {
		if a.session.IsUp() && !a.leaving {
			up = append(up, a)
		}
	}
	for i, a := range up {
		n := uint32(e.queue.total / len(up))
		if i < e.queue.total%len(up) {
			n++
		}
		n = min(n, a.hello.Slots)
		if (n == 0) != (a.wanted == 0) {
			a.dirty = true
		}
		a.wanted = n
	}
}
