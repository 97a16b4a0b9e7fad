package event

import (
	"strconv"
	"sync"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"

	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

var epoch = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func TestRingKeepsNewestEvents(t *testing.T) {
	// A burst writes more events than the ring holds. The snapshot must show that
	// earlier events are missing, as opposed to none having happened.
	r := NewRing(Options{Size: 4})
	for i := range 10 {
		r.Record(at(i), Event{Kind: TaskStarted, Task: uint32(i)})
	}
	s := r.Snapshot(Filter{})
	var tasks []uint32
	for _, e := range s.Events {
		tasks = append(tasks, e.Task)
	}
	if diff := cmp.Diff([]uint32{6, 7, 8, 9}, tasks); diff != "" {
		t.Errorf("tasks (-want +got):\n%s", diff)
	}
	if s.Overwritten != 6 {
		t.Errorf("Overwritten = %d, want 6", s.Overwritten)
	}
	if !hlc.Time(s.Oldest).Equal(at(6)) {
		t.Errorf("Oldest = %v, want %v", hlc.Time(s.Oldest), at(6))
	}
}

func TestSnapshotFilters(t *testing.T) {
	r := NewRing(Options{Process: "agent-1", Worker: "worker-1", Size: 16})
	r.Record(at(0), Event{Kind: JobAccepted, Job: "a", Contract: "reports"})
	r.Record(at(1), Event{Kind: TaskDispatched, Job: "a", Contract: "reports", Peer: "agent-2"})
	r.Record(at(2), Event{Kind: JobAccepted, Job: "b", Contract: "stamps"})
	r.Record(at(3), Event{Kind: LinkDown, Peer: "agent-2"})
	tests := []struct {
		name    string
		filter  Filter
		want    []Kind
		limited bool
	}{
		{"all", Filter{}, []Kind{JobAccepted, TaskDispatched, JobAccepted, LinkDown}, false},
		{"job", Filter{Job: "a"}, []Kind{JobAccepted, TaskDispatched}, false},
		{"contract", Filter{Contract: "stamps"}, []Kind{JobAccepted}, false},
		{"other side", Filter{Worker: "agent-2"}, []Kind{TaskDispatched, LinkDown}, false},
		{"own worker", Filter{Worker: "worker-1", Job: "a"}, []Kind{JobAccepted, TaskDispatched}, false},
		{"own name", Filter{Worker: "agent-1", Job: "b"}, []Kind{JobAccepted}, false},
		{"from and until", Filter{From: at(1), Until: at(3)}, []Kind{TaskDispatched, JobAccepted}, false},
		{"limit", Filter{Limit: 1}, []Kind{LinkDown}, true},
		{"none", Filter{Job: "c"}, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := r.Snapshot(tt.filter)
			var got []Kind
			for _, e := range s.Events {
				got = append(got, e.Kind)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("kinds (-want +got):\n%s", diff)
			}
			if s.Limited != tt.limited {
				t.Errorf("Limited = %v", s.Limited)
			}
		})
	}
}

func TestCountsIncludeOverwrittenEvents(t *testing.T) {
	r := NewRing(Options{Size: 2})
	for range 5 {
		r.Record(epoch, Event{Kind: CreditsGranted, Value: 3})
	}
	r.Record(epoch, Event{Kind: 255, Value: 1})
	if n, v := r.Count(CreditsGranted); n != 5 || v != 15 {
		t.Errorf("counted %d events with value %d, want 5 with 15", n, v)
	}
	if n, _ := r.Count(255); n != 0 {
		t.Errorf("counted %d events of an unknown kind", n)
	}
}

func TestStampsFollowObservedTimestamps(t *testing.T) {
	r := NewRing(Options{Size: 2})
	ahead := hlc.Pack(epoch.Add(time.Second), 5)
	if !r.Observe(ahead, epoch) || r.Stamp(epoch) <= ahead {
		t.Error("a stamp is not above the one observed")
	}
	if r.Observe(hlc.Pack(epoch.Add(time.Hour), 0), epoch) {
		t.Error("a timestamp an hour ahead was accepted")
	}
}

func TestNilRing(t *testing.T) {
	var r *Ring
	r.Record(epoch, Event{Kind: JobAccepted})
	if n, v := r.Count(JobAccepted); n != 0 || v != 0 || r.Stamp(epoch) != 0 || !r.Observe(1, epoch) {
		t.Error("a nil ring counts or stamps")
	}
	if s := r.Snapshot(Filter{}); len(s.Events) != 0 || r.Overwritten() != 0 || r.Process() != "" || r.Worker() != "" {
		t.Error("a nil ring is not empty")
	}
}

func TestConcurrentWritersAndReaders(t *testing.T) {
	const writers, each, size = 8, 2000, 256
	r := NewRing(Options{Size: size})
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				r.Record(at(i), Event{Kind: TaskResult, Task: uint32(w), Value: uint64(i)})
			}
		})
	}
	wg.Go(func() {
		for range 20 {
			r.Snapshot(Filter{})
		}
	})
	wg.Wait()
	s := r.Snapshot(Filter{})
	if len(s.Events) != size || s.Overwritten != writers*each-size {
		t.Errorf("%d events and %d overwritten, want %d and %d",
			len(s.Events), s.Overwritten, size, writers*each-size)
	}
}

func TestRecordDoesNotAllocate(t *testing.T) {
	r := NewRing(Options{Size: 64})
	e := Event{Kind: TaskDispatched, Job: "home.1", Contract: "reports", Peer: "agent-1"}
	if n := testing.AllocsPerRun(1000, func() { r.Record(epoch, e) }); n != 0 {
		t.Errorf("%v allocations per event, want 0", n)
	}
	if size := unsafe.Sizeof(slot{}); size != 104 {
		t.Errorf("an event takes %d bytes; Options.Size says 104", size)
	}
}

func TestKindNames(t *testing.T) {
	for k := Unspecified; k < kindCount; k++ {
		if parsed, ok := ParseKind(k.String()); !ok || parsed != k {
			t.Errorf("kind %d, named %q, parses to %v", k, k, parsed)
		}
	}
	if _, ok := ParseKind("from-a-newer-version"); ok {
		t.Error("an unknown name parsed")
	}
	if TaskUnknown.AboutTask() != true || JobAccepted.AboutTask() || LinkUp.AboutTask() {
		t.Error("AboutTask is wrong")
	}
}

// BenchmarkSnapshot measures one request for the time line of one job, which scans
// every event.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{8 << 10, 128 << 10, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := NewRing(Options{Size: size})
			for i := range size {
				r.Record(at(i), Event{Kind: TaskStarted, Job: strconv.Itoa(i / 8)})
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Snapshot(Filter{Job: "17"})
			}
		})
	}
}

// BenchmarkRecord measures the cost per event on one goroutine, with all processors
// writing to one ring, and for a nil ring.
func BenchmarkRecord(b *testing.B) {
	e := Event{Kind: TaskDispatched, Job: "home.1", Contract: "reports", Peer: "agent-1"}
	b.Run("alone", func(b *testing.B) {
		r := NewRing(Options{})
		b.ReportAllocs()
		for b.Loop() {
			r.Record(epoch, e)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		r := NewRing(Options{})
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				r.Record(epoch, e)
			}
		})
	})
	b.Run("nil", func(b *testing.B) {
		var r *Ring
		b.ReportAllocs()
		for b.Loop() {
			r.Record(epoch, e)
		}
	})
}
