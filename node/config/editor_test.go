package config_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/platform/standin/inproc"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

func half() float64 { return 0.5 }

func newEditor(s *kv.Server) *config.Editor {
	client := etcdv3.New("http://store", etcdv3.Options{HTTPClient: &http.Client{Transport: inproc.Transport{Handler: s}}, Random: half})
	return config.NewEditor(client, config.EditorOptions{Random: half})
}

func change(id string, from uint64, weight uint32) contract.Change {
	return contract.Change{
		Contract: &pb.Contract{Name: "desk", Revision: from, Rate: 5, Concurrency: 4, Waiting: 10, MemoryBytes: 1 << 30, Weight: weight},
		ID:       id, Author: "ann", At: time.Unix(100, 0),
	}
}

// The store fails while an operator changes a contract. The result must be
// accurate: success only if the change was applied, an error other than
// ErrOutcomeUnknown only if it was not. In no case is the change applied twice.
func TestApplyDuringStoreFaults(t *testing.T) {
	tests := []struct {
		name     string
		faults   kv.Faults
		recovery time.Duration // when the store recovers; zero: after Apply returns
		err      *errorx.Type
		applied  bool
	}{
		{name: "none", applied: true},
		{name: "answer lost", faults: kv.Faults{LoseResponses: 1}, applied: true},
		{name: "two answers lost", faults: kv.Faults{LoseResponses: 2}, applied: true},
		{name: "short outage", faults: kv.Faults{Outage: true}, recovery: 700 * time.Millisecond, applied: true},
		{name: "long outage", faults: kv.Faults{Outage: true}, err: config.ErrUnavailable},
		{name: "slow", faults: kv.Faults{Delay: 2 * time.Second}, applied: true},
		{name: "too slow", faults: kv.Faults{Delay: time.Minute}, err: config.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := kv.New(kv.Options{})
				e := newEditor(server)
				first, err := e.Apply(t.Context(), change("c1", 0, 1))
				if err != nil {
					t.Fatal(err)
				}
				server.SetFaults(tt.faults)
				if tt.recovery > 0 {
					time.AfterFunc(tt.recovery, func() { server.SetFaults(kv.Faults{}) })
				}
				revision, err := e.Apply(t.Context(), change("c2", first, 2))
				if (tt.err == nil) != (err == nil) || (tt.err != nil && !errorx.IsOfType(err, tt.err)) {
					t.Errorf("Apply: %v, want %v", err, tt.err)
				}
				server.SetFaults(kv.Faults{})
				time.Sleep(time.Hour)
				history, err := newEditor(server).History(t.Context(), "desk")
				if err != nil {
					t.Fatal(err)
				}
				if applied := len(history) == 2; applied != tt.applied || (applied && history[0].Revision != revision) {
					t.Errorf("applied %v at %d, want %v; history %v", applied, revision, tt.applied, history)
				}
			})
		})
	}
}

// The write takes effect, its answer is lost, and the store becomes unavailable, so
// that Apply returns ErrOutcomeUnknown. A later retry with the same id must report that
// the change was applied, and must not apply it twice.
func TestRetryAfterOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New(kv.Options{})
		e := newEditor(server)
		first, err := e.Apply(t.Context(), change("c1", 0, 1))
		if err != nil {
			t.Fatal(err)
		}
		server.SetFaults(kv.Faults{LoseResponses: 1})
		go func() {
			for server.Counts().Writes < 2 {
				time.Sleep(time.Millisecond)
			}
			server.SetFaults(kv.Faults{Outage: true})
		}()
		_, err = e.Apply(t.Context(), change("c2", first, 2))
		pending, ok := config.PendingOf(err)
		if want := (config.PendingChange{Contract: "desk", ChangeID: "c2", PrevRevision: first}); !ok || pending != want || !errorx.IsOfType(err, config.ErrOutcomeUnknown) {
			t.Fatalf("Apply: %v, pending %+v", err, pending)
		}
		if _, _, err := e.Resolve(t.Context(), pending); !errorx.IsOfType(err, config.ErrUnavailable) {
			t.Errorf("Resolve during the outage: %v", err)
		}
		server.SetFaults(kv.Faults{})
		resolution, at, err := e.Resolve(t.Context(), pending)
		if resolution != contract.Applied || err != nil {
			t.Errorf("Resolve: %v, %v", resolution, err)
		}
		again, err := newEditor(server).Apply(t.Context(), change("c2", first, 2))
		if again != at || err != nil {
			t.Errorf("the same change again: revision %d, want %d, %v", again, at, err)
		}
	})
}

// Twenty operators change one contract concurrently, each in a different way, while
// answers are lost. Each change must either fail with a conflict or be applied.
func TestConcurrentEditors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New(kv.Options{})
		first, err := newEditor(server).Apply(t.Context(), change("c0", 0, 1))
		if err != nil {
			t.Fatal(err)
		}
		server.SetFaults(kv.Faults{LoseResponses: 5})
		type outcome struct {
			id  string
			err error
		}
		outcomes := make(chan outcome)
		for i := range 20 {
			go func() {
				id := fmt.Sprintf("op%d", i)
				_, err := newEditor(server).Apply(t.Context(), change(id, first, uint32(2+i)))
				outcomes <- outcome{id, err}
			}()
		}
		won := map[string]bool{}
		for range 20 {
			o := <-outcomes
			if o.err == nil {
				won[o.id] = true
			} else if !errorx.IsOfType(o.err, contract.ErrConflict) || len(contract.Changes(o.err)) == 0 {
				t.Errorf("%s: %v", o.id, o.err)
			}
		}
		history, err := newEditor(server).History(t.Context(), "desk")
		if err != nil || len(won) != 1 || len(history) != 2 || !won[history[0].ChangeId] {
			t.Errorf("won %v, history %v, %v", won, history, err)
		}
	})
}

func TestEditorReadsAndRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEditor(kv.New(kv.Options{}))
		if _, err := e.Get(t.Context(), "desk"); !errorx.IsOfType(err, contract.ErrNotFound) {
			t.Errorf("Get of a missing contract: %v", err)
		}
		first, _ := e.Apply(t.Context(), change("c1", 0, 1))
		second, _ := e.Apply(t.Context(), change("c2", first, 2))
		if diff, err := e.Diff(t.Context(), change("", 0, 3).Contract); err != nil || len(diff) != 1 || diff[0].From != "2" || diff[0].To != "3" {
			t.Errorf("Diff: %v, %v", diff, err)
		}
		third, err := e.Rollback(t.Context(), "desk", first, "c3", "bob", time.Unix(200, 0))
		if err != nil || third <= second {
			t.Errorf("Rollback: %d, %v", third, err)
		}
		if again, err := e.Rollback(t.Context(), "desk", first, "c3", "bob", time.Unix(200, 0)); again != third || err != nil {
			t.Errorf("Rollback again: %d, %v", again, err)
		}
		got, invalid, at, err := e.List(t.Context())
		if err != nil || len(got) != 1 || len(invalid) != 0 || at != third || got[0].Weight != 1 || got[0].ChangedBy != "bob" {
			t.Errorf("List: %v, %v, %d, %v", got, invalid, at, err)
		}
	})
}
