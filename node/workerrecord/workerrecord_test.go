package workerrecord

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/platform/store"
)

// fakeStore has one key.
type fakeStore struct {
	store.Client
	mu    sync.Mutex
	item  store.Item
	away  bool
	calls int
}

func (s *fakeStore) call() error {
	s.calls++
	if s.away {
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

func (s *fakeStore) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

var worker = runner.Worker{Life: runner.Life{ID: "w1"}, Service: "s", Labels: []string{"a", "r1"}, Capacity: size.Size{CPUMillis: 4000, MemoryMB: 1000, GPUs: 2}}

func run(t *testing.T, s *fakeStore) *Keeper {
	k := New(Options{Store: s, Agent: "a1", Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go k.Run(ctx)
	return k
}

// An agent is killed, and its next process must know the worker without a report.
func TestNextProcessReadsTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		reported := worker
		reported.Sequence = 9
		run(t, s).Reported(reported)
		time.Sleep(writeWithin + time.Second)
		got, ok := run(t, s).Read(t.Context())
		if diff := cmp.Diff(worker, got); !ok || diff != "" {
			t.Errorf("read %v: %s", ok, diff)
		}
	})
}

// At the start of a fleet each agent reads its record and writes one. Two more reads for each
// made the store's calls a third more.
func TestRecordCostsThreeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		k := run(t, s)
		k.Read(t.Context())
		k.Reported(worker)
		time.Sleep(writeWithin + time.Second)
		if got := s.made(); got != 3 {
			t.Errorf("%d calls, want a read, a lease and a write", got)
		}
		// Another writer changes it: what was read no longer counts.
		s.mu.Lock()
		s.item.Revision += 5
		s.mu.Unlock()
		next := worker
		next.Born = 7
		k.Reported(next)
		time.Sleep(2 * writeWithin)
		if got, ok := run(t, s).Read(t.Context()); !ok || got.Born != 7 {
			t.Errorf("read %v (%v)", got, ok)
		}
	})
}

// A worker says that it leaves. A process that begins after that must not take it for one
// that stays, also when the store was away at that moment.
func TestWorkerThatLeavesIsOffTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		k := run(t, s)
		k.Reported(worker)
		time.Sleep(writeWithin + time.Second)
		s.setAway(true)
		leaving := worker
		leaving.Draining = true
		k.Reported(leaving)
		time.Sleep(3 * time.Second)
		s.setAway(false)
		time.Sleep(2 * retryAfter)
		if w, ok := k.Read(t.Context()); ok {
			t.Errorf("on record: %v", w)
		}
	})
}

// The same worker reports each second or two. The store must not hear of it: it takes some
// hundred writes a second from the whole fleet.
func TestReportsOfTheSameLifeCostNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		k := run(t, s)
		k.Reported(worker)
		time.Sleep(writeWithin + time.Second)
		before := s.made()
		for range 100 {
			k.Reported(worker)
			time.Sleep(time.Second)
		}
		if made := s.made(); made != before {
			t.Errorf("%d calls in 100 s", made-before)
		}
		time.Sleep(renewEvery + writeWithin)
		if s.made() == before {
			t.Error("the record was not renewed before its lease ends")
		}
	})
}

// Another writer's bytes stand at the key. They name no worker.
func TestUnreadableRecordNamesNoWorker(t *testing.T) {
	for _, text := range []string{"", "{", `{"worker":7}`, `{"worker":"w1"}`, `{"worker":"w1","service":"s","cpu_millis":0}`} {
		k := New(Options{Store: &fakeStore{item: store.Item{Key: prefix + "a1", Value: []byte(text), Revision: 1}}, Agent: "a1", Logger: slog.New(slog.DiscardHandler)})
		if w, ok := k.Read(t.Context()); ok {
			t.Errorf("%q names %v", text, w)
		}
	}
}
