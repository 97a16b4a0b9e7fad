package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker stands in for one life of a worker that starts whatever it is told to, as PROTOCOL.md
// describes it (enforces_capacity is false). The specification "ms=N" makes a task run N ms.
type worker struct {
	id, service, agent string
	clockRate          float64
	runs               *runLog
	started            time.Time

	mu       sync.Mutex
	address  string // at which it listens
	server   *http.Server
	dead     chan struct{} // closed when this life ends
	lives    int
	cpu      int64
	sequence uint64
	token    uint64
	leaseEnd time.Duration // on the worker's clock
	timer    *time.Timer
	running  map[string]*workerRun
	highest  map[string]uint32
	ended    []endRow
	lastEnd  uint64
	changed  chan struct{}
}

type workerRun struct {
	run      uint32
	cpu      int64
	length   time.Duration
	started  time.Time
	stopping bool
	timer    *time.Timer
	entry    *runRecord
}

type endRow struct {
	number uint64
	task   string
	run    uint32
	how    string
}

func newWorker(id, service, agent string, clockRate float64, runs *runLog) *worker {
	w := &worker{
		id: id, service: service, agent: agent, clockRate: clockRate, runs: runs, started: time.Now(), cpu: workerCPU,
		running: map[string]*workerRun{}, highest: map[string]uint32{}, changed: make(chan struct{}),
	}
	w.timer = time.AfterFunc(time.Hour, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
	})
	return w
}

// serve lets the worker listen, at the address that it had before.
func (w *worker) serve() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /papayahoist/run-start", w.call(w.start))
	mux.HandleFunc("POST /papayahoist/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /papayahoist/hold", w.call(w.hold))
	l, err := net.Listen("tcp", cmp.Or(w.address, "127.0.0.1:0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: mux}
	w.mu.Lock()
	w.address, w.server, w.dead = l.Addr().String(), server, make(chan struct{})
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return w.address, nil
}

// crash ends this life of the worker with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.runs.record.log("worker %s crashes", w.id)
	for task := range w.running {
		w.end(task, "lost", time.Now())
	}
	close(w.dead)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// revive begins a new life of the worker at the same address.
func (w *worker) revive() error {
	w.mu.Lock()
	w.lives++
	w.id = fmt.Sprintf("%s-%d", w.id[:10], w.lives+1)
	w.token, w.leaseEnd, w.started, w.sequence, w.lastEnd = 0, 0, time.Now(), 0, 0
	w.running, w.highest, w.ended = map[string]*workerRun{}, map[string]uint32{}, nil
	w.runs.record.log("worker %s is up", w.id)
	w.mu.Unlock()
	if _, err := w.serve(); err != nil {
		return err
	}
	go w.report()
	return nil
}

func (w *worker) isDead() bool {
	select {
	case <-w.dead:
		return true
	default:
		return false
	}
}

const clockStart = time.Second

func (w *worker) clock() time.Duration { return w.clockAt(time.Now()) }

func (w *worker) clockAt(t time.Time) time.Duration {
	return clockStart + time.Duration(float64(t.Sub(w.started))*w.clockRate)
}

// realTime returns when the worker's clock shows a time.
func (w *worker) realTime(clock time.Duration) time.Time {
	return w.started.Add(time.Duration(float64(clock-clockStart) / w.clockRate))
}

type callBody struct {
	Task  string `json:"task"`
	Run   uint32 `json:"run"`
	Spec  string `json:"specification"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  uint64 `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

func (w *worker) call(f func(r *http.Request, b callBody) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b callBody
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Target-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		if w.isDead() {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.lapse()
		if b.Token < w.token {
			body := w.body("fence")
			w.mu.Unlock()
			answer(rw, http.StatusConflict, body)
			return
		}
		w.token = b.Token
		w.mu.Unlock()
		status, body := f(r, b)
		answer(rw, status, body)
	}
}

func (w *worker) body(reason string) map[string]any {
	out := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if reason != "" {
		out["reason"] = reason
	}
	return out
}

// extend extends the lease, never shortens it. The caller holds the lock.
func (w *worker) extend(until int64) {
	end := min(time.Duration(until)*time.Millisecond, w.clock()+maxLease)
	if end > w.leaseEnd {
		w.leaseEnd = end
		w.timer.Reset(time.Until(w.realTime(end)))
	}
}

// lapse ends all runs once the lease has ended. The caller holds the lock.
func (w *worker) lapse() {
	if w.clock() < w.leaseEnd {
		w.timer.Reset(time.Until(w.realTime(w.leaseEnd)))
		return
	}
	for task := range w.running {
		w.end(task, "lapsed", w.realTime(w.leaseEnd))
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(task, how string, at time.Time) {
	r := w.running[task]
	delete(w.running, task)
	r.timer.Stop()
	w.highest[task] = max(w.highest[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.runs.ended(r.entry, at, how)
}

func (w *worker) start(_ *http.Request, b callBody) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[b.Task]; r != nil && r.run == b.Run {
		return http.StatusOK, w.body("")
	}
	if time.Duration(b.Until)*time.Millisecond <= w.clock() {
		return http.StatusConflict, w.body("late")
	}
	w.extend(b.Until)
	if b.Run <= w.highest[b.Task] || w.running[b.Task] != nil {
		return http.StatusConflict, w.body("old")
	}
	length, cpu := decodeSpec(b.Spec)
	now := time.Now()
	r := &workerRun{run: b.Run, cpu: cpu, length: length, started: now}
	used := cpu
	for _, x := range w.running {
		used += x.cpu
	}
	r.entry = w.runs.startedRun(w.id, b.Task, b.Run, now, used, w.cpu)
	r.timer = time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.running[b.Task] == r && !r.stopping {
			w.end(b.Task, "done", time.Now())
		}
	})
	w.running[b.Task] = r
	return http.StatusOK, w.body("")
}

func (w *worker) stop(_ *http.Request, b callBody) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[b.Task]
	if r == nil || r.run > b.Run {
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
		return http.StatusOK, w.body("")
	}
	if r.run == b.Run && !r.stopping {
		r.stopping = true
		r.timer = time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lapse()
			if w.running[b.Task] == r {
				w.end(b.Task, "stopped", time.Now())
			}
		})
	}
	return http.StatusOK, w.body("")
}

func (w *worker) hold(r *http.Request, b callBody) (int, map[string]any) {
	w.mu.Lock()
	if b.Until > 0 {
		w.extend(b.Until)
	}
	for len(w.ended) > 0 && w.ended[0].number <= b.Seen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && b.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(b.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, x := range w.running {
		percent := math.Min(99, math.Floor(100*float64(time.Since(x.started))/float64(x.length)))
		running = append(running, []any{task, x.run, "", percent, x.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	out := w.body("")
	out["running"], out["ended"] = running, ended
	return http.StatusOK, out
}

// runningOf returns how many running tasks belong to jobs for which wanted returns true.
func (w *worker) runningOf(wanted func(job string) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	n := 0
	for task := range w.running {
		if job, _, _ := strings.Cut(task, "."); wanted(job) {
			n++
		}
	}
	return n
}

// resize changes the worker's capacity; the next report says so.
func (w *worker) resize(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpu = cpu
	w.runs.record.log("worker %s has a capacity of %d", w.id, cpu)
}

// report sends the worker's heartbeats.
func (w *worker) report() {
	client := &http.Client{Timeout: time.Second}
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	for {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": "127.0.0.1:1", "zone": failureDomain, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "task_memory_mb": workerMemory, "gpu": 0},
			"labels": []string{"a", "r1-1"}, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence,
		})
		cpu, sequence := w.cpu, w.sequence
		w.mu.Unlock()
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/papayahoist/instances/%s", w.agent, w.id), bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				w.runs.reported(w.id, sequence, cpu, resp.StatusCode)
			}
		}
		select {
		case <-time.After(heartbeat):
		case <-dead:
			return
		}
	}
}

// spec returns the specification of a task that runs for a time on some CPU.
func spec(length time.Duration, cpu int64) string {
	return "ms=" + strconv.FormatInt(length.Milliseconds(), 10) + " cpu=" + strconv.FormatInt(cpu, 10)
}

func decodeSpec(s string) (time.Duration, int64) {
	var ms, cpu int64
	_, _ = fmt.Sscanf(s, "ms=%d cpu=%d", &ms, &cpu)
	return time.Duration(ms) * time.Millisecond, cpu
}
