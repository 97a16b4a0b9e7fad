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

// Parameters of the generated jobs. They range from jobs that end at once to some
// that still run when the caller sends them again.
const (
	maxTasks       = 5
	minRun         = 10 * time.Millisecond
	maxUsualRun    = 200 * time.Millisecond
	maxLongRun     = 2 * time.Second
	minTimeout     = 500 * time.Millisecond
	clientCount    = 8
	hostName       = "desk"
	droppableEvery = 5 // one in this many jobs uses the queue that some versions drop
	crashingEvery  = 97
	maxAttempts    = 4
)

// callers send jobs at a steady mean rate, and retry as the platform's clients do.
type callers struct {
	c       *cluster
	plan    *Schedule
	rand    *rand.Rand
	clients []*http.Client
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	lastCalm jobCounts // jobs sent in the last calm span
}

type jobCounts struct{ sent, completed int }

func newCallers(c *cluster, plan *Schedule) *callers {
	x := &callers{c: c, plan: plan, rand: rand.New(rand.NewPCG(plan.Seed, 2)), outcomes: map[string]int{}}
	for range clientCount {
		x.clients = append(x.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	}
	return x
}

// call is one job of one caller.
type call struct {
	id         string
	queue      string
	body       []byte
	tasks      int
	timeout    time.Duration
	deadline   time.Time     // for all attempts
	sent       time.Duration // time of the first attempt
	client     *http.Client
	firstEntry int // index of the entry of the first attempt
}

// run sends jobs until the context ends, then waits for the outstanding answers.
func (x *callers) run(ctx context.Context) {
	for n := 1; ; n++ {
		gap := time.Duration(x.rand.ExpFloat64() / x.c.size.JobsPerSecond * float64(time.Second))
		job := x.generate(n)
		select {
		case <-ctx.Done():
			x.wg.Wait()
			return
		case <-time.After(gap):
		}
		x.wg.Go(func() { x.send(job) })
	}
}

// generate generates the n-th job, which depends on the seed alone.
func (x *callers) generate(n int) *call {
	r := x.rand
	length := minRun + time.Duration(r.Int64N(int64(maxUsualRun)))
	if r.IntN(10) == 0 {
		length += time.Duration(r.Int64N(int64(maxLongRun)))
	}
	k := &call{id: fmt.Sprintf("%016x", n), queue: fixedQueue(r.IntN(fixedQueues)), tasks: 1 + r.IntN(maxTasks), firstEntry: r.IntN(x.c.size.Entries)}
	if r.IntN(droppableEvery) == 0 {
		k.queue = droppableQueue
	}
	spec := specification{Job: k.id, CPU: 200 + r.Int64N(workerCPU/4), Millis: int(length.Milliseconds()), Fails: r.IntN(40) == 0}
	if n%crashingEvery == 0 {
		spec.Crashes, k.tasks = true, 1
	}
	k.timeout = minTimeout + 3*length + time.Duration(r.Int64N(int64(maxLongRun)))
	k.client = x.clients[r.IntN(clientCount)]
	k.body, _ = json.Marshal(map[string]any{
		"specification": spec.encode(), "best_effort": true,
		"steps": []map[string]any{{"count": k.tasks, "cpu": spec.CPU, "task_memory_mb": 10, "estimated_ms": length.Milliseconds()}},
	})
	return k
}

// send sends the job until it is answered or its deadline passes.
func (x *callers) send(k *call) {
	k.sent, k.deadline = x.c.since(), time.Now().Add(k.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), k.deadline)
	defer cancel()
	x.recordOutcome(k, x.sendWithRetries(ctx, k))
}

func (x *callers) sendWithRetries(ctx context.Context, k *call) string {
	outcome := "no_answer"
	for try := range maxAttempts {
		entry := x.c.entries[(k.firstEntry+try)%len(x.c.entries)]
		var wait time.Duration
		var final bool
		outcome, wait, final = x.sendOnce(ctx, entry, k)
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

// sendOnce makes one request. If the result isn't final, the next request may
// follow after wait.
func (x *callers) sendOnce(ctx context.Context, entry *node, k *call) (outcome string, wait time.Duration, final bool) {
	x.c.checker.JobSent(x.c.since(), k.id, k.queue, k.tasks)
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
		x.checkUnanswered(entry, k, stopping, err)
		return "no_answer", resend, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		x.checkUnanswered(entry, k, stopping, err)
		return "no_answer", resend, false
	}
	return x.handleResponse(k, resp, text)
}

// checkUnanswered checks a request that got no answer: an entry that is stopped as
// planned must not leave a job unanswered that it has started.
func (x *callers) checkUnanswered(entry *node, k *call, stopping bool, err error) {
	at := x.c.since()
	if errors.Is(err, context.DeadlineExceeded) || !stopping && !entry.stopping.Load() || !x.c.checker.calm(at) {
		return
	}
	if x.c.checker.HasStarted(k.id) {
		x.c.checker.AddFinding(at, promiseStop, "%s stopped without answering started job %s: %v", entry.name, k.id, err)
	}
}

func (x *callers) handleResponse(k *call, resp *http.Response, text []byte) (outcome string, wait time.Duration, final bool) {
	at := x.c.since()
	switch resp.StatusCode {
	case http.StatusOK:
		var b struct {
			State string `json:"state"`
		}
		if json.Unmarshal(text, &b) != nil || b.State != "completed" && b.State != "failed" {
			x.c.checker.AddFinding(at, promiseComplete, "job %s got the answer %q", k.id, text)
			return "broken", 0, true
		}
		x.c.checker.JobAnswered(at, k.id, b.State == "completed")
		return b.State, 0, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		x.c.checker.JobRefused(at, k.id)
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return "refused", max(time.Second, time.Duration(seconds)*time.Second), false
	case http.StatusNotFound:
		x.c.checker.JobRefused(at, k.id)
		return "no_queue", 0, true
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return "unknown", resend, false
	}
	x.c.checker.AddFinding(at, promiseComplete, "job %s got status %d", k.id, resp.StatusCode)
	return "broken", 0, true
}

// recordOutcome records the outcome of a job.
func (x *callers) recordOutcome(k *call, outcome string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outcomes[outcome]++
	last := x.plan.Calms
	if len(last) == 0 || k.queue == droppableQueue || k.sent < last[len(last)-1].From+recoveryTime {
		return
	}
	x.lastCalm.sent++
	if outcome == "completed" || outcome == "failed" {
		x.lastCalm.completed++
	}
}
