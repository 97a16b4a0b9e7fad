package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Shapes of the jobs that are drawn. They range from those that end at once to some
// that outlast a caller's return.
const (
	maxTasks       = 5
	minRun         = 10 * time.Millisecond
	usualRun       = 200 * time.Millisecond
	longRun        = 2 * time.Second
	leastPatience  = 500 * time.Millisecond
	clients        = 8
	hostName       = "desk"
	droppableEvery = 5 // one job of so many is for the queue that versions drop
	crashingEvery  = 97
	maxTries       = 4
)

// callers send jobs at a steady rate, and again as the platform's clients do.
type callers struct {
	c       *cluster
	plan    *Schedule
	rand    *rand.Rand
	clients []*http.Client
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	lastCalm tally // of jobs sent in the last calm span
}

type tally struct{ sent, completed int }

func newCallers(c *cluster, plan *Schedule) *callers {
	x := &callers{c: c, plan: plan, rand: rand.New(rand.NewPCG(plan.Seed, 2)), outcomes: map[string]int{}}
	for range clients {
		x.clients = append(x.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	}
	return x
}

// call is one job of one caller.
type call struct {
	id       string
	queue    string
	body     []byte
	tasks    int
	patience time.Duration
	deadline time.Time     // of the whole call
	sent     time.Duration // for the first time
	client   *http.Client
	first    int // entry of the first try
}

// run sends jobs until the context ends, then waits for the last answers.
func (x *callers) run(ctx context.Context) {
	for n := 1; ; n++ {
		gap := time.Duration(x.rand.ExpFloat64() / x.c.size.JobsPerSecond * float64(time.Second))
		job := x.draw(n)
		select {
		case <-ctx.Done():
			x.wg.Wait()
			return
		case <-time.After(gap):
		}
		x.wg.Go(func() { x.send(job) })
	}
}

// draw makes the n-th job; what it is follows from the seed alone.
func (x *callers) draw(n int) *call {
	r := x.rand
	length := minRun + time.Duration(r.Int64N(int64(usualRun)))
	if r.IntN(10) == 0 {
		length += time.Duration(r.Int64N(int64(longRun)))
	}
	k := &call{id: fmt.Sprintf("%016x", n), queue: fixedQueue(r.IntN(fixedQueues)), tasks: 1 + r.IntN(maxTasks), first: r.IntN(x.c.size.Entries)}
	if r.IntN(droppableEvery) == 0 {
		k.queue = droppable
	}
	spec := specification{Job: k.id, CPU: 200 + r.Int64N(workerCPU/4), Millis: int(length.Milliseconds()), Fails: r.IntN(40) == 0}
	if n%crashingEvery == 0 {
		spec.Crashes, k.tasks = true, 1
	}
	k.patience = leastPatience + 3*length + time.Duration(r.Int64N(int64(longRun)))
	k.client = x.clients[r.IntN(clients)]
	k.body, _ = json.Marshal(map[string]any{
		"specification": spec.text(), "best_effort": true,
		"steps": []map[string]any{{"count": k.tasks, "cpu": spec.CPU, "task_memory_mb": 10, "estimated_ms": length.Milliseconds()}},
	})
	return k
}

// send tries until there is an answer, or no time.
func (x *callers) send(k *call) {
	k.sent, k.deadline = x.c.since(), time.Now().Add(k.patience)
	ctx, cancel := context.WithDeadline(context.Background(), k.deadline)
	defer cancel()
	x.count(k, x.tries(ctx, k))
}

func (x *callers) tries(ctx context.Context, k *call) string {
	outcome := "no_answer"
	for try := range maxTries {
		entry := x.c.entries[(k.first+try)%len(x.c.entries)]
		var wait time.Duration
		var final bool
		outcome, wait, final = x.try(ctx, entry, k)
		if final || ctx.Err() != nil {
			return outcome
		}
		select {
		case <-ctx.Done():
			return outcome
		case <-time.After(wait):
		}
	}
	return outcome
}

// try makes one request; when it isn't final, the next may follow after wait.
func (x *callers) try(ctx context.Context, entry *node, k *call) (outcome string, wait time.Duration, final bool) {
	x.c.ledger.Asked(x.c.since(), k.id, k.queue, k.tasks)
	stopping := entry.stopping.Load()
	url := "http://" + entry.relays[CallersToEntry].Address() + k.queue + k.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(k.body))
	if err != nil {
		return "no_request", 0, true
	}
	req.Host = hostName
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(time.Until(k.deadline).Milliseconds(), 10))
	resp, err := k.client.Do(req)
	if err != nil {
		x.cut(entry, k, stopping, err)
		return "no_answer", resend, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		x.cut(entry, k, stopping, err)
		return "no_answer", resend, false
	}
	return x.answered(k, resp, text)
}

// cut looks at a request without an answer: an entry that is stopped as planned
// must not leave one whose job it has begun.
func (x *callers) cut(entry *node, k *call, stopping bool, err error) {
	at := x.c.since()
	if errors.Is(err, context.DeadlineExceeded) || !stopping && !entry.stopping.Load() || !x.c.ledger.calm(at) {
		return
	}
	if x.c.ledger.CutOff(k.id) {
		x.c.ledger.Break(at, promiseStop, "%s stopped and cut off job %s: %v", entry.name, k.id, err)
	}
}

func (x *callers) answered(k *call, resp *http.Response, text []byte) (outcome string, wait time.Duration, final bool) {
	at := x.c.since()
	switch resp.StatusCode {
	case http.StatusOK:
		var b struct {
			State string `json:"state"`
		}
		if json.Unmarshal(text, &b) != nil || b.State != "completed" && b.State != "failed" {
			x.c.ledger.Break(at, promiseWhole, "job %s got the answer %q", k.id, text)
			return "broken", 0, true
		}
		x.c.ledger.Answered(at, k.id, b.State == "completed")
		return b.State, 0, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		x.c.ledger.Refused(at, k.id)
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return "refused", max(time.Second, time.Duration(seconds)*time.Second), false
	case http.StatusNotFound:
		x.c.ledger.Refused(at, k.id)
		return "no_queue", 0, true
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unknown", resend, false
	}
	x.c.ledger.Break(at, promiseWhole, "job %s got status %d", k.id, resp.StatusCode)
	return "broken", 0, true
}

// count notes how a job went.
func (x *callers) count(k *call, outcome string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outcomes[outcome]++
	last := x.plan.Calms
	if len(last) == 0 || k.queue == droppable || k.sent < last[len(last)-1].From+recovery {
		return
	}
	x.lastCalm.sent++
	if outcome == "completed" || outcome == "failed" {
		x.lastCalm.completed++
	}
}
