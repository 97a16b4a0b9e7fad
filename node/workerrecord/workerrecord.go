// Package workerrecord stores the current incarnation of an agent's worker, with its
// capacity and labels, in the platform's store for the agent's next process.
//
// Without the record, a worker whose agent was restarted gets no work until its next report.
// A record is used only if the worker answers as the recorded incarnation, since that has
// the recorded capacity and labels.
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
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/store"
)

const (
	// keyPrefix is the prefix of the records' keys.
	keyPrefix = "papayahoist/workers/"
	// recordTTL is how long a record outlasts its last write, and renewInterval the interval
	// at which it is written again. At 11,000 workers that is 23 records per second, with two
	// calls each.
	recordTTL     = 10 * time.Minute
	renewInterval = 8 * time.Minute
	// maxWriteDelay is the longest random delay before a write. It spreads the writes of a
	// site whose workers all start at once: those of 11,000 workers are 275 per second, and
	// the store handles several hundred.
	maxWriteDelay = 40 * time.Second
	// maxRecordBytes bounds a record, which holds no more than a worker's report. Its labels go
	// to every entry.
	maxRecordBytes = 64 << 10
	// readTimeout bounds how long a new process waits for its record. The worker's next
	// report, which makes the record needless, may arrive at any moment.
	readTimeout = time.Second
)

// Options configure a Recorder.
type Options struct {
	Store  store.Client
	Agent  string
	Logger *slog.Logger
}

// Recorder keeps the record of one agent's worker up to date.
type Recorder struct {
	opts    Options
	changed chan struct{}

	mu     sync.Mutex
	worker runner.Worker // as last reported; without an ID there must be no record
	// revision is that of the record as last read or written, zero if there is none. It
	// saves a read before each write, and is valid only while revisionKnown is set.
	revision      store.Revision
	revisionKnown bool
}

// New returns a Recorder. It writes nothing until Run is called.
func New(o Options) *Recorder { return &Recorder{opts: o, changed: make(chan struct{}, 1)} }

// record is the stored form of a worker's incarnation.
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
		Incarnation: runner.Incarnation{ID: r.Worker, StartUnixMs: r.Born}, Service: r.Service, Labels: r.Labels,
		Capacity: size.Size{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, GPUs: r.GPUs},
	}
}

// Read returns the worker recorded by an earlier process. It returns false if there is no
// record or if that can't be read or decoded.
func (r *Recorder) Read(ctx context.Context) (runner.Worker, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	item, err := r.get(ctx)
	if err != nil {
		r.opts.Logger.Warn("worker_record_not_read", "err", err)
		return runner.Worker{}, false
	}
	if item.Revision == 0 {
		return runner.Worker{}, false
	}
	var rec record
	err = json.Unmarshal(item.Value, &rec)
	if err == nil {
		err = adapter.CheckWorker(rec.worker())
	}
	if err != nil || rec.CPUMillis <= 0 || len(item.Value) > maxRecordBytes {
		// Not written by an agent: it names no worker.
		r.opts.Logger.Warn("worker_record_unreadable", "revision", uint64(item.Revision), "err", err)
		return runner.Worker{}, false
	}
	return rec.worker(), true
}

// get reads the record. The revision of the item is zero if there is none.
func (r *Recorder) get(ctx context.Context) (store.Item, error) {
	item, err := r.opts.Store.Get(ctx, r.key())
	if store.IsNotFound(err) {
		item, err = store.Item{}, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision, r.revisionKnown = item.Revision, err == nil
	return item, err
}

func (r *Recorder) key() string { return keyPrefix + r.opts.Agent }

// Reported records a worker's report. The record of a draining worker is removed.
func (r *Recorder) Reported(w runner.Worker) {
	if w.Draining {
		w = runner.Worker{}
	}
	r.setWorker(w)
}

// Left records that the worker with the id has stopped: its record is removed.
func (r *Recorder) Left(id string) {
	if r.currentWorker().ID == id {
		r.setWorker(runner.Worker{})
	}
}

func (r *Recorder) setWorker(w runner.Worker) {
	r.mu.Lock()
	same := r.worker.Incarnation == w.Incarnation
	r.worker = w
	r.mu.Unlock()
	if same {
		return
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Recorder) currentWorker() runner.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker
}

// Run writes the record when the worker changes, and renews it, until the context is
// cancelled.
func (r *Recorder) Run(ctx context.Context) {
	for {
		wait := renewInterval
		if r.currentWorker().ID == "" {
			wait = 0 // nothing to renew
		}
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		case <-afterOrNever(wait):
		}
		r.syncRecord(ctx)
	}
}

// afterOrNever returns a channel that receives after d, or never if d is zero.
func afterOrNever(d time.Duration) <-chan time.Time {
	if d == 0 {
		return nil
	}
	return time.After(d)
}

// syncRecord writes or removes the record to match the current worker. It retries until
// that has succeeded or the context is cancelled.
func (r *Recorder) syncRecord(ctx context.Context) {
	for ctx.Err() == nil {
		if r.currentWorker().ID != "" {
			// Writes are spread, but the record of a worker that leaves is removed at once.
			r.pause(ctx, rand.N(maxWriteDelay))
		}
		w := r.currentWorker()
		err := r.write(ctx, w)
		if err == nil && r.currentWorker().Incarnation == w.Incarnation {
			return
		}
		if err != nil {
			r.opts.Logger.Warn("worker_record_not_written", "worker", w.Incarnation.String(), "err", err)
			r.pause(ctx, retryDelay)
		}
	}
}

// retryDelay is the wait after a failed call.
const retryDelay = time.Second

// pause waits for d, or until the worker has changed or the context is cancelled.
func (r *Recorder) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.changed:
	case <-time.After(d):
	}
}

func (r *Recorder) write(ctx context.Context, w runner.Worker) error {
	r.mu.Lock()
	revision, known := r.revision, r.revisionKnown
	r.mu.Unlock()
	if !known {
		item, err := r.get(ctx)
		if err != nil {
			return err
		}
		revision = item.Revision
	}
	revision, err := r.change(ctx, revision, w)
	r.mu.Lock()
	defer r.mu.Unlock()
	// After a failure it is not known whether the change was made.
	r.revision, r.revisionKnown = revision, err == nil
	return err
}

// change writes the record of w, or removes it if w has no ID, provided that its revision
// in the store is the given one. It returns the new revision, zero after a removal.
func (r *Recorder) change(ctx context.Context, revision store.Revision, w runner.Worker) (store.Revision, error) {
	if w.ID == "" {
		if revision == 0 {
			return 0, nil
		}
		return 0, r.opts.Store.Delete(ctx, r.key(), revision)
	}
	lease, err := r.opts.Store.Grant(ctx, recordTTL)
	if err != nil {
		return 0, err
	}
	value, _ := json.Marshal(record{
		Worker: w.ID, Born: w.StartUnixMs, Service: w.Service, Labels: w.Labels,
		CPUMillis: w.Capacity.CPUMillis, MemoryMB: w.Capacity.MemoryMB, GPUs: w.Capacity.GPUs,
	})
	return r.opts.Store.CompareAndSwap(ctx, r.key(), revision, value, lease)
}
