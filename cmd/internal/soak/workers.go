package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// Parameters of the stand-in workers; workerCPU and workerMemory are the capacity
// of each.
const (
	workerCPU    = 4000
	workerMemory = 4000
	// reportEvery is short, so that restarted agents learn of their worker soon.
	reportEvery = 300 * time.Millisecond
	// lostCallsDivisor is n where a lossy worker loses one in n calls, before or
	// after it has executed them.
	lostCallsDivisor = 4
	// oddAnswersDivisor is n where one in n answers is odd.
	oddAnswersDivisor = 2
)

// specification is what a caller sends for each task, and what the worker executes.
type specification struct {
	Job    string `json:"job"`
	CPU    int64  `json:"cpu"`
	Millis int    `json:"ms"`
	// Fails: every run fails.
	Fails bool `json:"fails,omitempty"`
	// Crashes: every worker that starts it crashes.
	Crashes bool `json:"crashes,omitempty"`
}

func (s specification) encode() string {
	b, _ := json.Marshal(s)
	return string(b)
}

func parseSpecification(text string) specification {
	var s specification
	_ = json.Unmarshal([]byte(text), &s)
	return s
}

// host is a worker's machine: one incarnation of a worker after another at one
// address.
type host struct {
	c            *cluster
	index        int
	clockRate    float64
	agentAddress string // address to which it reports
	lossy        atomic.Int32
	fails        atomic.Int32
	stalls       atomic.Int32
	oddAnswers   atomic.Int32 // a standin.Answer
	calls        atomic.Uint64

	current atomic.Pointer[standin.Worker]

	mu          sync.Mutex
	incarnation *workerIncarnation
	starts      int
}

// ServeHTTP implements http.Handler.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	worker := h.current.Load()
	if worker == nil {
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(w, r)
}

// start starts a new incarnation if none is running.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != nil {
		return
	}
	h.starts++
	l := &workerIncarnation{name: fmt.Sprintf("w%d.%d", h.index, h.starts), domain: domainName(h.index), capacity: workerCPU, running: map[string]taskRun{}}
	checker, since := h.c.checker, h.c.since
	id, born := l.name, int64(0)
	if h.index%2 == 1 {
		// Every other worker keeps its identifier across restarts.
		id, born = fmt.Sprintf("w%d", h.index), time.Now().UnixMilli()
	}
	w := standin.NewWorker(standin.WorkerOptions{
		ID: id, Born: born, Service: service, CPU: workerCPU, Memory: workerMemory, Agent: h.agentAddress, ReportInterval: reportEvery, ClockRate: h.clockRate,
		MaxLease: maxLease, RunTime: h.runLength, Fails: h.runFails, LoseCall: h.losesCall, Answer: h.answer,
		Crashes: func(text string) bool { return parseSpecification(text).Crashes }, Crash: h.crashByTask,
		OnStart: func(task string, run uint32, text string) {
			checker.RunStarted(since(), l, task, run, parseSpecification(text))
		},
		OnEnd: func(task string, _ uint32, how string) { checker.RunEnded(l, task, how) },
		OnAcknowledged: func(draining bool) {
			if draining {
				checker.WorkerDraining(since(), l)
			}
		},
	})
	l.leaseLapsed = w.LeaseExpired
	h.incarnation = l
	h.current.Store(w)
	go w.Report()
}

// crash ends the current incarnation. It returns false if none is running.
func (h *host) crash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation == nil {
		return false
	}
	l := h.incarnation
	h.current.Swap(nil).Close(func() { h.c.checker.WorkerGone(l) })
	h.incarnation = nil
	return true
}

// crashByTask ends the current incarnation, and starts another one after a while.
func (h *host) crashByTask() {
	if h.crash() {
		time.AfterFunc(crashRestartDelay, h.start)
	}
}

// crashRestartDelay is how long a worker stays down after a task has crashed it.
const crashRestartDelay = 700 * time.Millisecond

// resize halves the capacity for a while. In calm time, no run may start beyond
// the new capacity once the worker has reported it.
func (h *host) resize(lasts time.Duration, calm bool) bool {
	h.mu.Lock()
	w, l := h.current.Load(), h.incarnation
	h.mu.Unlock()
	if w == nil {
		return false
	}
	w.SetCPU(workerCPU / 2)
	time.Sleep(capacityBound)
	if calm {
		h.c.checker.WorkerResized(l, workerCPU/2)
	}
	time.Sleep(lasts)
	h.c.checker.WorkerResized(l, workerCPU)
	w.SetCPU(workerCPU)
	return true
}

// capacityBound is the time after which a reduced capacity must be respected:
// three reports.
const capacityBound = 3 * reportEvery

// drain makes the worker report that it drains. It returns false if none is
// running.
func (h *host) drain() bool {
	w := h.current.Load()
	if w == nil {
		return false
	}
	w.Drain()
	return true
}

// stalledRunLength is the duration of a run that doesn't end.
const stalledRunLength = time.Hour

func (h *host) runLength(text string) time.Duration {
	if h.stalls.Load() > 0 {
		return stalledRunLength
	}
	usual := time.Duration(parseSpecification(text).Millis) * time.Millisecond
	return time.Duration(float64(usual) / h.c.size.speed(h.index))
}

func (h *host) runFails(text string, _ uint32) bool {
	return h.fails.Load() > 0 || parseSpecification(text).Fails
}

// losesCall decides pseudo-randomly which calls are lost.
func (h *host) losesCall(string) (before, after bool) {
	n := h.calls.Add(1)
	if h.lossy.Load() == 0 {
		return false, false
	}
	sum := fnv.New32a()
	fmt.Fprint(sum, h.index, n)
	switch sum.Sum32() % (2 * lostCallsDivisor) {
	case 0:
		return true, false
	case 1:
		return false, true
	}
	return false, false
}

// answer decides how a call is answered.
func (h *host) answer(string) standin.Answer {
	if h.calls.Load()%oddAnswersDivisor == 0 {
		return standin.Answer(h.oddAnswers.Load())
	}
	return standin.CompleteAnswer
}
