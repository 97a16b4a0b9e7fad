package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workerLife is one life of a worker that starts whatever it is told to start, under a lease. It
// doesn't guard its capacity.
type workerLife struct {
	site           *site
	name           string // of the machine
	id             string
	service        string
	labels         []string
	cpu, memory    int64
	zone           string
	address, agent string
	// keepsID: each life has the same id, and states when it began.
	keepsID bool
	// onStart, if not nil, is called with a call that starts a run before it is carried out. If it
	// returns false, the call is not carried out and not answered.
	onStart func(c workerCall) bool

	mu       sync.Mutex
	cond     chan struct{}
	born     time.Time
	sequence uint64
	state    string
	dead     bool
	token    uint64
	until    time.Duration
	runs     map[string]*workerRun
	highest  map[string]uint32
	ended    [][]any
	lastEnd  uint64
	server   *http.Server
	done     chan struct{}
}

type workerRun struct {
	task     string
	run      uint32
	began    time.Time
	length   time.Duration
	stopAt   time.Time
	specText string
}

const (
	maxHold      = time.Second
	heartbeat    = 1500 * time.Millisecond
	stopTime     = 20 * time.Millisecond
	clockAtStart = 5 * time.Second
)

func (w *workerLife) start() error {
	w.born, w.state, w.cond, w.done = time.Now(), "ready", make(chan struct{}), make(chan struct{})
	w.runs, w.highest = map[string]*workerRun{}, map[string]uint32{}
	l, err := listenRetry(w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	go w.loop()
	go w.beat()
	return nil
}

func listenRetry(address string) (l net.Listener, err error) {
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}

// crash ends this life and all that runs on it.
func (w *workerLife) crash() {
	w.mu.Lock()
	w.dead = true
	w.runs = map[string]*workerRun{}
	close(w.done)
	w.mu.Unlock()
	_ = w.server.Close()
	w.site.logf("worker %s (%s) crashes", w.name, w.id)
}

func (w *workerLife) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.report()
}

func (w *workerLife) clock() time.Duration { return clockAtStart + time.Since(w.born) }

// loop ends runs that are over.
func (w *workerLife) loop() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		w.mu.Lock()
		for _, r := range w.runs {
			switch {
			case !r.stopAt.IsZero() && time.Now().After(r.stopAt):
				w.end(r, "stopped")
			case w.clock() >= w.until:
				w.end(r, "lapsed")
			case r.stopAt.IsZero() && time.Since(r.began) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *workerLife) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, how, ""})
	close(w.cond)
	w.cond = make(chan struct{})
	w.site.event(runEvent{what: "end", how: how, worker: w, task: r.task, run: r.run})
}

func (w *workerLife) body() (string, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	text, _ := json.Marshal(w.withBirth(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_remaining_ms": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "task_memory_mb": w.memory, "gpu": 0}, "labels": w.labels,
		"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence,
	}))
	return w.state, text
}

// report sends one heartbeat and returns whether it was acknowledged.
func (w *workerLife) report() bool {
	state, text := w.body()
	ok := sendHeartbeat(w.agent, w.id, text)
	if state == "draining" && ok {
		w.site.drainAcked(w)
	}
	return ok
}

func sendHeartbeat(agent, id string, text []byte) bool {
	req, _ := http.NewRequest(http.MethodPut, "http://"+agent+"/papayahoist/instances/"+id, bytes.NewReader(text))
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (w *workerLife) beat() {
	for {
		wait := heartbeat
		if !w.report() {
			wait = 300 * time.Millisecond
		}
		select {
		case <-w.done:
			return
		case <-time.After(wait):
		}
	}
}

type workerCall struct {
	Task  string `json:"task"`
	Run   uint32 `json:"run"`
	Spec  string `json:"specification"`
	Until *int64 `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  uint64 `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

func (w *workerLife) serve(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != w.id {
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if w.onStart != nil && strings.HasSuffix(r.URL.Path, "/run-start") && !w.onStart(c) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Token < w.token {
		body := w.says("fence")
		w.mu.Unlock()
		answer(rw, http.StatusConflict, body)
		return
	}
	w.token = c.Token
	var status int
	var body any
	switch strings.TrimPrefix(r.URL.Path, "/papayahoist/") {
	case "run-start":
		status, body = w.startRun(c)
	case "run-stop":
		status, body = w.stopRun(c)
	case "hold":
		status, body = w.hold(c, r)
	default:
		status = http.StatusNotFound
	}
	w.mu.Unlock()
	answer(rw, status, body)
}

func (w *workerLife) says(reason string) map[string]any {
	m := map[string]any{"clock_ms": w.clock().Milliseconds()}
	if reason != "" {
		m["reason"] = reason
	}
	return m
}

func (w *workerLife) extend(until int64) {
	w.until = max(w.until, min(time.Duration(until)*time.Millisecond, w.clock()+maxHold))
}

func (w *workerLife) startRun(c workerCall) (int, any) {
	if r := w.runs[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, w.says("")
	}
	if c.Until == nil || time.Duration(*c.Until)*time.Millisecond <= w.clock() {
		return http.StatusConflict, w.says("late")
	}
	w.extend(*c.Until)
	if c.Run <= w.highest[c.Task] || w.runs[c.Task] != nil {
		return http.StatusConflict, w.says("old")
	}
	w.runs[c.Task] = &workerRun{task: c.Task, run: c.Run, began: time.Now(), length: runTimeOf(c.Spec), specText: c.Spec}
	w.site.event(runEvent{what: "start", worker: w, task: c.Task, run: c.Run, spec: c.Spec})
	return http.StatusOK, w.says("")
}

// startLate carries out a call that came earlier. Nobody gets its answer.
func (w *workerLife) startLate(c workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, body := http.StatusConflict, any(w.says("fence"))
	if !w.dead && c.Token >= w.token {
		w.token = c.Token
		status, body = w.startRun(c)
	}
	w.site.logf("worker %s: carries out a start of %s run %d late: %d %v", w, c.Task, c.Run, status, body)
}

func (w *workerLife) stopRun(c workerCall) (int, any) {
	if r := w.runs[c.Task]; r != nil && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	return http.StatusOK, w.says("")
}

func (w *workerLife) hold(c workerCall, r *http.Request) (int, any) {
	if c.Until != nil {
		w.extend(*c.Until)
	}
	for len(w.ended) > 0 && w.ended[0][0].(uint64) <= c.Seen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && c.Wait > 0 {
		cond := w.cond
		w.mu.Unlock()
		select {
		case <-cond:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-w.done:
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, x := range w.runs {
		percent := min(99, int(100*time.Since(x.began)/max(x.length, 1)))
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	ended := append([][]any{}, w.ended[:min(500, len(w.ended))]...)
	return http.StatusOK, w.withBirth(map[string]any{"clock_ms": w.clock().Milliseconds(), "running": running, "ended": ended})
}

func (w *workerLife) withBirth(m map[string]any) map[string]any {
	if w.keepsID {
		m["born"] = w.born.UnixMilli()
	}
	return m
}

func (w *workerLife) String() string { return fmt.Sprintf("%s (%s)", w.name, w.id) }

func (w *workerLife) setCPU(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpu = cpu
}

// reports returns how many reports the worker has sent.
func (w *workerLife) reports() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence
}
