package workerrecord

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/platform/store"
)

// fakeStore is a store with one key.
type fakeStore struct {
	store.Client
	mu          sync.Mutex
	item        store.Item
	unavailable bool
	calls       int
}

func (s *fakeStore) call() error {
	s.calls++
	if s.unavailable {
		return store.Unavailable.New("away")
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return store.Item{}, err
	}
	if s.item.Key != key {
		return store.Item{}, store.NotFound.New("no item %q", key)
	}
	return s.item, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, prev store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return 0, err
	}
	if prev != s.item.Revision {
		return 0, store.Conflict.New("changed")
	}
	s.item = store.Item{Key: key, Value: value, Revision: prev + 1, Lease: lease}
	return s.item.Revision, nil
}

func (s *fakeStore) Delete(_ context.Context, _ string, prev store.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	if prev != s.item.Revision {
		return store.Conflict.New("changed")
	}
	s.item = store.Item{}
	return nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1, s.call()
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

var testWorker = runner.Worker{Incarnation: runner.Incarnation{ID: "w1"}, Service: "s", Labels: []string{"a", "r1"}, Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000, GPUs: 2}}

func runRecorder(t *testing.T, s *fakeStore) *Recorder {
	r := New(Options{Store: s, Agent: "a1", Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go r.Run(ctx)
	return r
}

// An agent is killed. Its next process must restore the worker without a report.
func TestNextProcessReadsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		reported := testWorker
		reported.Sequence = 9
		runRecorder(t, s).Reported(reported)
		time.Sleep(maxWriteDelay + time.Second)
		got, ok := runRecorder(t, s).Read(t.Context())
		if diff := cmp.Diff(testWorker, got); !ok || diff != "" {
			t.Errorf("read %v: %s", ok, diff)
		}
	})
}

// When a fleet starts, each agent reads its record and writes one, with three calls in all.
// Two more reads per agent would add a third to the store's calls.
func TestRecordCostsThreeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := runRecorder(t, s)
		r.Read(t.Context())
		r.Reported(testWorker)
		time.Sleep(maxWriteDelay + time.Second)
		if got := s.callCount(); got != 3 {
			t.Errorf("%d calls, want a read, a lease and a write", got)
		}
		// Another writer changes the record, so the known revision is out of date.
		s.mu.Lock()
		s.item.Revision += 5
		s.mu.Unlock()
		next := testWorker
		next.StartUnixMs = 7
		r.Reported(next)
		time.Sleep(2 * maxWriteDelay)
		if got, ok := runRecorder(t, s).Read(t.Context()); !ok || got.StartUnixMs != 7 {
			t.Errorf("read %v (%v)", got, ok)
		}
	})
}

// A worker drains. The agent's next process must not restore it from the record, even if
// the store was unreachable when the worker began to drain.
func TestRecordOfDrainingWorkerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := runRecorder(t, s)
		r.Reported(testWorker)
		time.Sleep(maxWriteDelay + time.Second)
		s.setUnavailable(true)
		leaving := testWorker
		leaving.Draining = true
		r.Reported(leaving)
		time.Sleep(3 * time.Second)
		s.setUnavailable(false)
		time.Sleep(2 * retryDelay)
		if w, ok := r.Read(t.Context()); ok {
			t.Errorf("still recorded: %v", w)
		}
	})
}

// A worker reports every one or two seconds. Reports of the same incarnation must not cause
// calls to the store, which handles several hundred writes per second for the whole fleet.
func TestReportsOfSameIncarnationCostNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		r := runRecorder(t, s)
		r.Reported(testWorker)
		time.Sleep(maxWriteDelay + time.Second)
		before := s.callCount()
		for range 100 {
			r.Reported(testWorker)
			time.Sleep(time.Second)
		}
		if calls := s.callCount(); calls != before {
			t.Errorf("%d calls in 100 s", calls-before)
		}
		time.Sleep(renewInterval + maxWriteDelay)
		if s.callCount() == before {
			t.Error("the record was not renewed before its lease ends")
		}
	})
}

// Another writer has stored invalid data at the key. It names no worker.
func TestUnreadableRecordNamesNoWorker(t *testing.T) {
	for _, text := range []string{
		"", "{", `{"worker":7}`, `{"worker":"w1"}`, `{"worker":"w1","service":"s","cpu_millis":0}`,
		`{"worker":"w1","service":"s","cpu_millis":1e400}`, `{"worker":"w1","service":"s","cpu_millis":9223372036854775807}`,
		`{"worker":"w1","service":"s","cpu_millis":2147483648}`, `{"worker":"w1","service":"s","cpu_millis":1000,"memory_mb":-1}`,
		`{"worker":"w1","service":"s","cpu_millis":1000,"gpus":4294967297}`, `{"worker":"w\n1","service":"s","cpu_millis":1000}`,
		`{"worker":"w1","service":"s","cpu_millis":1000,"labels":["` + strings.Repeat("a", 1<<20) + `"]}`,
		strings.Repeat(`{"worker":`, 100_000) + strings.Repeat("}", 100_000),
	} {
		r := New(Options{Store: &fakeStore{item: store.Item{Key: keyPrefix + "a1", Value: []byte(text), Revision: 1}}, Agent: "a1", Logger: slog.New(slog.DiscardHandler)})
		if w, ok := r.Read(t.Context()); ok {
			t.Errorf("%.80q names %.80v", text, w)
		}
	}
}
