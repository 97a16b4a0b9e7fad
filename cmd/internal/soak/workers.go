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

// workerCPU and workerMemory are the capacity of each worker.
const (
	workerCPU    = 4000
	workerMemory = 4000
	// reportEvery is short, so that restarted agents know their worker soon.
	reportEvery = 300 * time.Millisecond
	// callsLostPart is the part of the calls that a lossy worker loses, before or
	// after it has carried them out.
	callsLostPart = 4
)

// specification is what a caller sends for each task, and what the worker goes by.
type specification struct {
	Job    string `json:"job"`
	CPU    int64  `json:"cpu"`
	Millis int    `json:"ms"`
	// Fails: each run of it does.
	Fails bool `json:"fails,omitempty"`
	// Crashes: it crashes each worker that starts it.
	Crashes bool `json:"crashes,omitempty"`
}

func (s specification) text() string {
	b, _ := json.Marshal(s)
	return string(b)
}

func parseSpecification(text string) specification {
	var s specification
	_ = json.Unmarshal([]byte(text), &s)
	return s
}

// host is a worker's machine: one life of a worker after another at one address.
type host struct {
	c      *cluster
	index  int
	rate   float64
	agent  string // where it reports
	lossy  atomic.Int32
	fails  atomic.Int32
	stalls atomic.Int32
	calls  atomic.Uint64

	current atomic.Pointer[standin.Worker]

	mu    sync.Mutex
	life  *life
	lives int
}

// ServeHTTP implements http.Handler.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	worker := h.current.Load()
	if worker == nil {
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(w, r)
}

// start begins a life, if none goes on.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != nil {
		return
	}
	h.lives++
	l := &life{name: fmt.Sprintf("w%d.%d", h.index, h.lives), domain: domainName(h.index), capacity: workerCPU, running: map[string]taskRun{}}
	ledger, since := h.c.ledger, h.c.since
	id, born := l.name, int64(0)
	if h.index%2 == 1 {
		// Every other worker keeps its identifier.
		id, born = fmt.Sprintf("w%d", h.index), time.Now().UnixMilli()
	}
	w := standin.NewWorker(standin.WorkerOptions{
		ID: id, Born: born, Service: service, CPU: workerCPU, Memory: workerMemory, Agent: h.agent, Every: reportEvery, Rate: h.rate,
		MaxLease: maxLease, Length: h.length, Fails: h.runFails, Lose: h.loses,
		Crashes: func(text string) bool { return parseSpecification(text).Crashes }, Crash: h.crashByTask,
		Began: func(task string, run uint32, text string) {
			ledger.Began(since(), l, task, run, parseSpecification(text))
		},
		Ended: func(task string, _ uint32, how string) { ledger.Ended(l, task, how) },
		Acknowledged: func(draining bool) {
			if draining {
				ledger.Draining(since(), l)
			}
		},
	})
	l.lapsed = w.Lapsed
	h.life = l
	h.current.Store(w)
	go w.Report()
}

// crash ends the life that goes on.
func (h *host) crash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life == nil {
		return false
	}
	l := h.life
	h.current.Swap(nil).Close(func() { h.c.ledger.LifeOver(l) })
	h.life = nil
	return true
}

// crashByTask ends the life that goes on, and begins another one after a while.
func (h *host) crashByTask() {
	if h.crash() {
		time.AfterFunc(rebirth, h.start)
	}
}

// rebirth is how long a worker is away that a task has crashed.
const rebirth = 700 * time.Millisecond

// resize halves the capacity for a while. In calm time nothing may start beyond it once it has
// been told.
func (h *host) resize(lasts time.Duration, calm bool) bool {
	h.mu.Lock()
	w, l := h.current.Load(), h.life
	h.mu.Unlock()
	if w == nil {
		return false
	}
	w.SetCPU(workerCPU / 2)
	time.Sleep(capacityBound)
	if calm {
		h.c.ledger.Resized(l, workerCPU/2)
	}
	time.Sleep(lasts)
	h.c.ledger.Resized(l, workerCPU)
	w.SetCPU(workerCPU)
	return true
}

// capacityBound is when a capacity that has shrunk counts: three reports.
const capacityBound = 3 * reportEvery

// drain has the worker say that it leaves.
func (h *host) drain() bool {
	w := h.current.Load()
	if w == nil {
		return false
	}
	w.Drain()
	return true
}

// stalled is how long a run takes that doesn't end.
const stalled = time.Hour

func (h *host) length(text string) time.Duration {
	if h.stalls.Load() > 0 {
		return stalled
	}
	return time.Duration(parseSpecification(text).Millis) * time.Millisecond
}

func (h *host) runFails(text string, _ uint32) bool {
	return h.fails.Load() > 0 || parseSpecification(text).Fails
}

// loses spreads the losses over the calls without keeping their order.
func (h *host) loses(string) (before, after bool) {
	n := h.calls.Add(1)
	if h.lossy.Load() == 0 {
		return false, false
	}
	sum := fnv.New32a()
	fmt.Fprint(sum, h.index, n)
	switch sum.Sum32() % (2 * callsLostPart) {
	case 0:
		return true, false
	case 1:
		return false, true
	}
	return false, false
}
