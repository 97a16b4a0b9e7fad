// Package workerrecord keeps in the platform's store what an agent knows of its worker's
// life, for the agent's next process.
//
// Without it a worker whose agent was restarted gets no work until its next report. What is
// read counts only if the worker answers as the life that is on record, which has the capacity
// and labels that it had.
package workerrecord

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/platform/store"
)

const (
	// prefix of the records' keys.
	prefix = "papayahoist/workers/"
	// ttl is how long a record outlasts its agent, and renewEvery how often it is written
	// anew. At 11,000 workers that is 23 records a second, two calls each.
	ttl        = 10 * time.Minute
	renewEvery = 8 * time.Minute
	// writeWithin spreads the records of a site that begins as a whole: those of 11,000
	// workers are 275 a second, of the several hundred writes that the store takes.
	writeWithin = 40 * time.Second
	// readWithin bounds how long a new process waits for its record: the worker's next
	// report may come any moment.
	readWithin = time.Second
)

// Options configure a Keeper.
type Options struct {
	Store  store.Client
	Agent  string
	Logger *slog.Logger
}

// Keeper keeps one agent's record.
type Keeper struct {
	o       Options
	changed chan struct{}

	mu     sync.Mutex
	worker runner.Worker // as last reported; no id: none is worth a record
	// revision of the record as last read or written; zero: there is none. It counts while
	// read, and spares a call for each change.
	revision store.Revision
	read     bool
}

// New returns a Keeper; Run writes.
func New(o Options) *Keeper { return &Keeper{o: o, changed: make(chan struct{}, 1)} }

// record is a worker's life in the store.
type record struct {
	Worker    string   `json:"worker"`
	Born      int64    `json:"born,omitempty"`
	Service   string   `json:"service"`
	Labels    []string `json:"labels"`
	CPUMillis int64    `json:"cpu_millis"`
	MemoryMB  int64    `json:"memory_mb"`
	GPUs      int64    `json:"gpus"`
}

func (r record) worker() runner.Worker {
	return runner.Worker{
		Life: runner.Life{ID: r.Worker, Born: r.Born}, Service: r.Service, Labels: r.Labels,
		Capacity: size.Size{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, GPUs: r.GPUs},
	}
}

// Read returns the worker's life that an earlier process had on record. False: there is
// none that can be read.
func (k *Keeper) Read(ctx context.Context) (runner.Worker, bool) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	item, err := k.get(ctx)
	if err != nil {
		k.o.Logger.Warn("worker_record_not_read", "err", err)
		return runner.Worker{}, false
	}
	if item.Revision == 0 {
		return runner.Worker{}, false
	}
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil || r.Worker == "" || r.Service == "" || r.CPUMillis <= 0 {
		// Another writer's: it names no worker.
		k.o.Logger.Warn("worker_record_unreadable", "revision", uint64(item.Revision), "err", err)
		return runner.Worker{}, false
	}
	return r.worker(), true
}

// get reads the record; its revision is zero if there is none.
func (k *Keeper) get(ctx context.Context) (store.Item, error) {
	item, err := k.o.Store.Get(ctx, k.key())
	if store.IsNotFound(err) {
		item, err = store.Item{}, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.read = item.Revision, err == nil
	return item, err
}

func (k *Keeper) key() string { return prefix + k.o.Agent }

// Reported takes in what the worker says of itself. One that leaves is worth no record.
func (k *Keeper) Reported(w runner.Worker) {
	if w.Draining {
		w = runner.Worker{}
	}
	k.set(w)
}

// Left takes in that a worker says it ends.
func (k *Keeper) Left(id string) {
	if k.current().ID == id {
		k.set(runner.Worker{})
	}
}

func (k *Keeper) set(w runner.Worker) {
	k.mu.Lock()
	same := k.worker.Life == w.Life
	k.worker = w
	k.mu.Unlock()
	if same {
		return
	}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Keeper) current() runner.Worker {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker
}

// Run keeps the record as the worker reports, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		wait := renewEvery
		if k.current().ID == "" {
			wait = 0 // nothing to renew
		}
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-after(wait):
		}
		k.keep(ctx)
	}
}

// after fires after d; never for zero.
func after(d time.Duration) <-chan time.Time {
	if d == 0 {
		return nil
	}
	return time.After(d)
}

// keep writes what the worker is now, or removes the record, and goes on until it is done.
func (k *Keeper) keep(ctx context.Context) {
	for ctx.Err() == nil {
		if k.current().ID != "" {
			// A worker that leaves has its record removed at once.
			k.pause(ctx, rand.N(writeWithin))
		}
		w := k.current()
		err := k.write(ctx, w)
		if err == nil && k.current().Life == w.Life {
			return
		}
		if err != nil {
			k.o.Logger.Warn("worker_record_not_written", "worker", w.Life.String(), "err", err)
			k.pause(ctx, retryAfter)
		}
	}
}

// retryAfter is the pause after a call that failed.
const retryAfter = time.Second

// pause waits, but not after the worker has changed.
func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-k.changed:
	case <-time.After(d):
	}
}

func (k *Keeper) write(ctx context.Context, w runner.Worker) error {
	k.mu.Lock()
	revision, read := k.revision, k.read
	k.mu.Unlock()
	if !read {
		item, err := k.get(ctx)
		if err != nil {
			return err
		}
		revision = item.Revision
	}
	revision, err := k.change(ctx, revision, w)
	k.mu.Lock()
	defer k.mu.Unlock()
	// After a failure the change may have been made.
	k.revision, k.read = revision, err == nil
	return err
}

// change writes or removes the record as of a revision, and returns the next one.
func (k *Keeper) change(ctx context.Context, revision store.Revision, w runner.Worker) (store.Revision, error) {
	if w.ID == "" {
		if revision == 0 {
			return 0, nil
		}
		return 0, k.o.Store.Delete(ctx, k.key(), revision)
	}
	lease, err := k.o.Store.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	value, _ := json.Marshal(record{
		Worker: w.ID, Born: w.Born, Service: w.Service, Labels: w.Labels,
		CPUMillis: w.Capacity.CPUMillis, MemoryMB: w.Capacity.MemoryMB, GPUs: w.Capacity.GPUs,
	})
	return k.o.Store.CompareAndSwap(ctx, k.key(), revision, value, lease)
}
