package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

var epoch = time.Unix(1000, 0)

// Entries link, disconnect, request, start, return credits and disappear in any order.
// If a slot were promised twice, the endpoint would start more tasks than fit, and
// tasks of other customers would be killed for lack of memory.
func TestCreditsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		c := NewCredits(CreditsOptions{Slots: slots, RecallDelay: 10 * time.Millisecond})
		entry := rapid.SampledFrom([]string{"a", "b", "c"})
		now := epoch
		var running []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := entry.Draw(t, "entry")
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				c.Link(e, now)
			case 1:
				c.Unlink(e)
			case 2:
				c.SetWant(e, rapid.IntRange(0, 20).Draw(t, "want"))
			case 3:
				if c.Start(e, 1) == Run {
					running = append(running, e)
				}
			case 4:
				if len(running) > 0 {
					c.End(running[0], 1)
					c.Regrant(running[0], 1)
					running = running[1:]
				}
			case 5:
				c.Return(e, rapid.IntRange(0, 3).Draw(t, "returned"))
			case 6:
				now = now.Add(20 * time.Millisecond)
			case 7:
				for _, g := range c.Balance(now, nil) {
					if g.Recalled > c.Granted(g.Entry) {
						t.Fatalf("recall of %d from %s, which has %d", g.Recalled, g.Entry, c.Granted(g.Entry))
					}
				}
			}
			granted := c.Granted("a") + c.Granted("b") + c.Granted("c")
			if c.Free() < 0 || c.Free()+granted+len(running) != slots {
				t.Fatalf("free %d, granted %d, running %d of %d", c.Free(), granted, len(running), slots)
			}
		}
	})
}

// Several entries start tasks on the same slots at once. If more tasks ran than there
// are slots, the endpoint would run out of memory and all of them would fail.
func TestSharedNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		s := NewSharedSlots(SharedSlotsOptions{Slots: slots, MaxQueued: 3})
		type start struct {
			entry string
			units int
		}
		var running, queued []start
		links := 0
		entry := rapid.SampledFrom([]string{"a", "b", "c"})
		sum := func(list []start) (n int) {
			for _, x := range list {
				n += x.units
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			x := start{entry.Draw(t, "entry"), rapid.IntRange(1, 9).Draw(t, "units")}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				s.Link(x.entry, epoch)
				links++
			case 1:
				s.Unlink(x.entry)
			case 2, 3:
				switch s.Start(x.entry, x.units) {
				case Run:
					running = append(running, x)
				case Queue:
					queued = append(queued, x)
				}
			case 4:
				if len(running) > 0 {
					s.End(running[0].entry, running[0].units)
					running = running[1:]
				}
				for len(queued) > 0 && s.Dequeue(queued[0].entry, queued[0].units) {
					running, queued = append(running, queued[0]), queued[1:]
				}
			case 5:
				if len(queued) > 0 {
					s.Cancel(queued[0].entry, queued[0].units)
					queued = queued[1:]
				}
			}
			s.Balance(epoch, nil)
			if sum(running) > slots || sum(queued) > max(3, slots)*links || s.Free() != slots-sum(running)-sum(queued) {
				t.Fatalf("running %v, queued %v, free %d of %d", running, queued, s.Free(), slots)
			}
		}
	})
}

func TestCreditsFollowDemand(t *testing.T) {
	c := NewCredits(CreditsOptions{Slots: 8, RecallDelay: 10 * time.Millisecond})
	c.Link("a", epoch)
	c.Link("b", epoch)
	want := []Grant{{Entry: "a", Granted: 4}, {Entry: "b", Granted: 4}}
	if diff := cmp.Diff(want, c.Balance(epoch, nil)); diff != "" {
		t.Errorf("grants of idle slots (-want +got): %s", diff)
	}
	c.SetWant("a", 3)
	if got := c.Balance(epoch.Add(time.Millisecond), nil); len(got) != 0 {
		t.Errorf("changes before the damping time has passed: %v", got)
	}
	c.Start("b", 2)
	c.Balance(epoch.Add(10*time.Millisecond), nil)
	got := c.Balance(epoch.Add(20*time.Millisecond), nil)
	if diff := cmp.Diff([]Grant{{Entry: "b", Recalled: 2}}, got); diff != "" {
		t.Errorf("recall (-want +got): %s", diff)
	}
	c.Return("b", 2)
	if diff := cmp.Diff([]Grant{{Entry: "a", Granted: 2}}, c.Balance(epoch.Add(20*time.Millisecond), nil)); diff != "" {
		t.Errorf("grants after the return (-want +got): %s", diff)
	}
	c.End("b", 1)
	if got := c.Regrant("b", 1); got != 1 {
		t.Errorf("entry b, which holds fewer slots than a, was granted %d credits, want 1", got)
	}
	c.Link("b", epoch)
	c.SetWant("a", 8)
	c.Balance(epoch, nil)
	if c.Free() != 0 || c.Granted("b") != 0 || c.Start("b", 1) == Run {
		t.Error("a start on a void credit took a slot promised to another entry")
	}
}

// network is a set of entries whose messages may be lost or delayed.
type network struct {
	shares map[string]*Shares
	using  map[string]uint32
	queue  map[[2]string][]ShareState
	names  []string
}

func newNetwork() *network {
	return &network{shares: map[string]*Shares{}, using: map[string]uint32{}, queue: map[[2]string][]ShareState{}}
}

// addEntry adds an entry that knows all earlier ones. These learn of it by its messages.
func (n *network) addEntry(total uint32) {
	name := fmt.Sprintf("e%d", (len(n.names)*7+3)%10)
	s := NewShares(name)
	s.SetContract("c", total)
	for _, other := range n.names {
		s.AddMember(other)
	}
	n.shares[name] = s
	n.names = append(n.names, name)
}

func (n *network) send(from, to string) {
	state := n.shares[from].State(func(string) uint32 { return n.using[from] })
	n.queue[[2]string{from, to}] = append(n.queue[[2]string{from, to}], state)
}

func (n *network) deliver(from, to string) {
	link := [2]string{from, to}
	if len(n.queue[link]) > 0 {
		n.shares[to].Receive(n.queue[link][0], epoch)
		n.queue[link] = n.queue[link][1:]
	}
}

func (n *network) totals() (held, using uint32) {
	for name, s := range n.shares {
		slots, _ := s.Share("c")
		held += slots
		using += n.using[name]
	}
	return held, using
}

// converge ticks all entries and delivers every message. The rounds after the last tick
// complete the plan made in it: with fewer slots than entries, each rotation moves a
// slot from one entry to the next.
func (n *network) converge() {
	for range 20 {
		for _, a := range n.names {
			n.shares[a].Tick(epoch)
			n.broadcast(a)
		}
	}
	for range 2 {
		for _, a := range n.names {
			n.broadcast(a)
		}
	}
}

// broadcast delivers an entry's queued messages and its present state to all others.
func (n *network) broadcast(a string) {
	for _, b := range n.names {
		if a == b {
			continue
		}
		n.send(a, b)
		for len(n.queue[[2]string{a, b}]) > 0 {
			n.deliver(a, b)
		}
	}
}

// Entries join and make plans concurrently, and their messages are delayed or lost. If
// two of them enlarged their shares on outdated states, the customer would run more
// tasks than the contract allows, at the expense of others.
func TestSharesNeverExceedContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := uint32(rapid.IntRange(1, 40).Draw(t, "total"))
		n := newNetwork()
		n.addEntry(total)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			from := rapid.SampledFrom(n.names).Draw(t, "from")
			to := rapid.SampledFrom(n.names).Draw(t, "to")
			s := n.shares[from]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				if len(n.names) < 4 {
					n.addEntry(total)
				}
			case 1:
				s.SetDemand("c", uint32(rapid.IntRange(0, 50).Draw(t, "demand")))
			case 2, 3:
				s.Tick(epoch)
			case 4:
				n.send(from, to)
			case 5:
				n.deliver(from, to)
			case 6:
				n.queue[[2]string{from, to}] = nil
			case 7:
				if slots, _ := s.Share("c"); n.using[from] < slots {
					n.using[from]++
				} else if n.using[from] > 0 {
					n.using[from]--
				}
			}
			if held, using := n.totals(); held > total || using > total {
				t.Fatalf("shares of %d slots, %d in use, contract of %d", held, using, total)
			}
		}
		for name := range n.using {
			n.using[name] = 0
		}
		n.converge()
		if held, _ := n.totals(); held != total {
			t.Fatalf("after all messages were delivered the shares add up to %d of %d slots", held, total)
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	n := newNetwork()
	for range 3 {
		n.addEntry(90)
	}
	n.converge()
	n.shares[n.names[0]].SetDemand("c", 200)
	n.converge()
	if slots, _ := n.shares[n.names[0]].Share("c"); slots < 70 {
		t.Errorf("the only entry with demand has %d of 90 slots, want at least 70", slots)
	}
	// One entry leaves and the others take over its share.
	gone := n.names[0]
	n.names = n.names[1:]
	delete(n.shares, gone)
	for _, s := range n.shares {
		s.RemoveMember(gone)
	}
	n.converge()
	if held, _ := n.totals(); held != 90 {
		t.Errorf("after an entry left the shares add up to %d of 90 slots", held)
	}
	s := n.shares[n.names[0]]
	s.SetFenced(true)
	if slots, _ := s.Share("c"); slots != 0 {
		t.Errorf("a fenced entry holds %d slots, want 0", slots)
	}
}

// An entry ends before another one starts, which learns of it only from the plan in
// force. If the new entry waited for that member's state, it would never start a task,
// and its callers would see only timeouts.
func TestSharesExpireUnconfirmedMember(t *testing.T) {
	old := NewShares("a")
	old.SetContract("c", 8)
	old.AddMember("ended")
	old.Tick(epoch)
	fresh := NewShares("b")
	fresh.SetContract("c", 8)
	fresh.AddMember("a")
	none := func(string) uint32 { return 0 }
	fresh.Receive(old.State(none), epoch)
	old.Receive(fresh.State(none), epoch)
	old.RemoveMember("ended")
	later := epoch.Add(unconfirmedTTL)
	for range 4 {
		old.Tick(later)
		fresh.Receive(old.State(none), later)
		fresh.Tick(later)
		old.Receive(fresh.State(none), later)
	}
	for name, s := range map[string]*Shares{"old": old, "fresh": fresh} {
		if slots, _ := s.Share("c"); slots != 4 {
			t.Errorf("%s entry has %d of 8 slots", name, slots)
		}
	}
}

func newLimiter(c Contract) *Limiter {
	l := NewLimiter()
	c.Name = "c"
	l.SetContract(c, epoch)
	l.SetShare("c", c.Concurrency, c.Concurrency, epoch)
	return l
}

func TestLimiterAllow(t *testing.T) {
	tasks := make([]place.Task, 10)
	for i := range tasks {
		tasks[i].Memory = 100
	}
	at := epoch.Add(time.Hour)
	cases := []struct {
		name string
		c    Contract
		want int
	}{
		{"all", Contract{Rate: 10, Burst: 10, Concurrency: 10, MemoryBytes: 1000}, 10},
		{"burst", Contract{Rate: 10, Burst: 3, Concurrency: 10, MemoryBytes: 1000}, 3},
		{"concurrency", Contract{Rate: 10, Burst: 10, Concurrency: 4, MemoryBytes: 1000}, 4},
		{"memory", Contract{Rate: 10, Burst: 10, Concurrency: 10, MemoryBytes: 599}, 5},
		{"zero allows nothing", Contract{}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLimiter(c.c)
			if got := l.Allow(at, "c", tasks); got != c.want || int(l.Running("c")) != c.want {
				t.Errorf("allowed %d, running %d, want %d of each", got, l.Running("c"), c.want)
			}
		})
	}
	if NewLimiter().Allow(at, "unknown", tasks) != 0 {
		t.Error("Allow let a task of an unknown contract start")
	}
}

// A share moves from one entry to another after the first has spent its burst. If the
// second got a full bucket with the share, the burst could be used twice.
func TestLimiterMovedShareCarriesNoTokens(t *testing.T) {
	c := Contract{Name: "c", Rate: 1, Burst: 10, Concurrency: 10, MemoryBytes: 1}
	l := NewLimiter()
	l.SetContract(c, epoch)
	l.SetShare("c", 0, 10, epoch)
	at := epoch.Add(time.Hour)
	l.SetShare("c", 10, 10, at)
	if n := l.Allow(at, "c", make([]place.Task, 10)); n != 0 {
		t.Errorf("%d tasks may start at once, want 0", n)
	}
	if at, ok := l.NextStart("c", at); !ok || l.Allow(at, "c", make([]place.Task, 10)) != 1 {
		t.Error("no task may start at the time that NextStart returned")
	}
}

func TestLimiterAdmit(t *testing.T) {
	l := newLimiter(Contract{Rate: 10, Burst: 1, Concurrency: 10, MemoryBytes: 1000, MaxWaiting: 100})
	ok := Request{Contract: "c", Tasks: 1, TimeLeft: time.Minute, TotalRun: time.Second, MaxWorkerMemory: 2000}
	cases := []struct {
		name   string
		change func(*Request)
		want   jobs.Code
		retry  bool
	}{
		{"admitted", func(*Request) {}, "", false},
		{"unknown", func(r *Request) { r.Contract = "x" }, jobs.CodeUnknownContract, false},
		{"memory", func(r *Request) { r.MaxTaskMemory = 1001 }, jobs.CodeDoesNotFit, false},
		{"no worker", func(r *Request) { r.MaxWorkerMemory, r.MaxTaskMemory = 500, 600 }, jobs.CodeDoesNotFit, false},
		{"deadline too short", func(r *Request) { r.MinRun = time.Minute }, jobs.CodeDeadline, false},
		{"large job alone", func(r *Request) { r.Tasks, r.Entries = 100, 3 }, "", false},
		{"more than the waiting limit", func(r *Request) { r.Tasks = 101 }, jobs.CodeQueueFull, true},
		{"waiting", func(r *Request) { r.WaitingTasks = 100 }, jobs.CodeQueueFull, true},
		{"rate", func(r *Request) { r.WaitingTasks, r.TimeLeft = 90, 5*time.Second }, jobs.CodeRateLimited, true},
		{"overload", func(r *Request) { r.QueueWait = 2 * time.Minute }, jobs.CodeOverloaded, true},
		{"no deadline", func(r *Request) { r.QueueWait, r.TimeLeft = time.Hour, 0 }, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := ok
			c.change(&r)
			refusal := l.Admit(r, epoch)
			if refusal == nil {
				refusal = &Refusal{}
			}
			if refusal.Code != c.want || (refusal.RetryAfter > 0) != c.retry {
				t.Errorf("refusal %+v, want code %q, retry %v", refusal, c.want, c.retry)
			}
		})
	}
}

func BenchmarkAllow(b *testing.B) {
	l := newLimiter(Contract{Rate: 1e9, Burst: 1e9, Concurrency: 1000, MemoryBytes: 1 << 40})
	tasks := make([]place.Task, 1)
	at := epoch.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if l.Allow(at, "c", tasks) != 1 {
			b.Fatal("Allow refused a task within the limits")
		}
		l.TaskEnded("c", 0)
	}
}
