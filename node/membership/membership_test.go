package membership_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/platform/standin/inproc"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
	"google.golang.org/protobuf/proto"
)

// balancer is the address at which any live entry may answer.
const balancer = "balancer"

// node is one entry process.
type node struct {
	address string
	m       *membership.Membership
	config  *config.Holder
	events  *event.Ring
	stop    context.CancelFunc
	done    chan struct{}
}

// cluster is a set of entries on one clock, with a network that can be partitioned.
type cluster struct {
	t      testing.TB
	store  *kv.Server
	random func() float64

	mu          sync.Mutex
	nodes       map[string]*node
	partitioned map[string]bool
	started     int
	balanced    int
	messages    int
	bytes       int
}

func newCluster(t testing.TB) *cluster {
	return &cluster{t: t, store: kv.New(kv.Options{}), random: newRandom(0), nodes: map[string]*node{}, partitioned: map[string]bool{}}
}

// newRandom returns a source of random numbers for one process.
func newRandom(seed int) func() float64 {
	var mu sync.Mutex
	numbers := rand.New(rand.NewPCG(3, uint64(seed)))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return numbers.Float64()
	}
}

func (c *cluster) client(random func() float64) *etcdv3.Client {
	return etcdv3.New("http://store", etcdv3.Options{HTTPClient: &http.Client{Transport: inproc.Transport{Handler: c.store}}, Random: random})
}

// start adds an entry process at a new address.
func (c *cluster) start() *node {
	c.mu.Lock()
	address := fmt.Sprintf("10.0.0.%d:7440", c.started+1)
	c.mu.Unlock()
	return c.startAt(address)
}

// startAt adds an entry process at an address, which may be that of one that has ended.
func (c *cluster) startAt(address string) *node {
	c.started++
	ctx, stop := context.WithCancel(context.Background())
	n := &node{address: address, config: config.NewHolder(), events: event.NewRing(event.Options{Size: 64}), stop: stop, done: make(chan struct{})}
	random := newRandom(c.started)
	self := &pb.Peer{Entry: "entry", Incarnation: fmt.Sprintf("%08x%024x", int(random()*1e9), c.started), Address: address, FailureDomain: "a"}
	n.m = membership.New(membership.Options{
		Self: self, Store: c.client(random), Config: n.config, Join: []string{balancer}, Exchanger: &exchanger{c, address}, Random: random,
		Events: n.events,
	})
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		n.m.Run(ctx)
	}()
	return n
}

// kill ends a process without notifying the others.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	delete(c.nodes, n.address)
	c.mu.Unlock()
	n.stop()
	<-n.done
}

// setPartitioned partitions a process from all that are not partitioned, or heals it.
func (c *cluster) setPartitioned(n *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[n.address] = cut
}

func (c *cluster) close() {
	for _, n := range c.live() {
		c.kill(n)
	}
}

func (c *cluster) live() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*node
	for _, n := range c.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int {
		return cmp.Or(cmp.Compare(len(a.address), len(b.address)), cmp.Compare(a.address, b.address))
	})
	return all
}

// exchanger is a membership.Exchanger that carries the exchanges of one entry.
type exchanger struct {
	c    *cluster
	from string
}

func (k *exchanger) Exchange(ctx context.Context, to string, state *pb.PeerState) (*pb.PeerState, error) {
	c := k.c
	if to == balancer {
		live := c.live()
		c.mu.Lock()
		c.balanced++
		to = live[c.balanced%len(live)].address
		c.mu.Unlock()
	}
	c.mu.Lock()
	target, cut := c.nodes[to], c.partitioned[k.from] != c.partitioned[to]
	c.messages += 2
	c.bytes += proto.Size(state)
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target == nil {
		return nil, errors.New("connection refused")
	}
	time.Sleep(2 * time.Millisecond)
	answer := target.m.Serve(proto.CloneOf(state))
	c.mu.Lock()
	c.bytes += proto.Size(answer)
	c.mu.Unlock()
	return proto.CloneOf(answer), nil
}

// until polls in steps of virtual time until the condition holds, and returns how long
// that took. It fails the test after limit.
func (c *cluster) until(limit time.Duration, what string, holds func() bool) time.Duration {
	c.t.Helper()
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took <= limit; took += step {
		if holds() {
			return took
		}
		time.Sleep(step)
	}
	c.t.Fatalf("not after %v: %s", limit, what)
	return 0
}

// converged reports whether all live entries list each other and no others.
func (c *cluster) converged() bool {
	live := c.live()
	for _, n := range live {
		peers := n.m.Peers()
		if len(peers) != len(live) {
			return false
		}
		for _, p := range peers {
			if !slices.ContainsFunc(live, func(n *node) bool { return n.address == p.Address }) {
				return false
			}
		}
	}
	return true
}

// inForce reports whether all live entries hold at least that revision of a contract.
func (c *cluster) inForce(name string, revision uint64) bool {
	for _, n := range c.live() {
		if n.config.Snapshot().Latest(name).GetRevision() < revision {
			return false
		}
	}
	return true
}

func (c *cluster) apply(name, id string, from uint64, weight uint32) uint64 {
	c.t.Helper()
	revision, err := config.NewEditor(c.client(c.random), config.EditorOptions{Random: c.random}).Apply(context.Background(), contract.Change{
		Contract: &pb.Contract{Name: name, Revision: from, Rate: 5, Concurrency: 4, Waiting: 10, MemoryBytes: 1 << 30, Weight: weight},
		ID:       id, Author: "ann", At: time.Now(),
	})
	if err != nil {
		c.t.Fatalf("apply %s: %v", id, err)
	}
	return revision
}

// Entries start, one crashes, one is restarted at the same address, and one is paused. A
// crashed entry that is still listed would be forwarded jobs that nobody serves; the jobs
// of a live one that is dropped would be answered as unknown.
func TestJoinCrashRestartPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		t.Logf("three entries list each other after %v", c.until(2*time.Second, "three list each other", c.converged))
		fourth := c.start()
		t.Logf("a fourth is listed after %v", c.until(2*time.Second, "fourth joins", c.converged))

		c.kill(fourth)
		t.Logf("a crashed one is dropped after %v", c.until(15*time.Second, "crashed one dropped", c.converged))

		third := c.live()[2]
		c.kill(third)
		c.startAt(third.address)
		t.Logf("a restarted one is listed again after %v", c.until(5*time.Second, "restarted one listed", c.converged))

		paused := c.live()[1]
		c.setPartitioned(paused, true)
		time.Sleep(time.Minute)
		if n := len(c.live()[0].m.Peers()); n != 2 {
			t.Errorf("%d entries listed while one is paused, want 2", n)
		}
		c.setPartitioned(paused, false)
		t.Logf("a paused one is back after %v", c.until(20*time.Second, "paused one back", c.converged))
	})
}

// An entry that shuts down in order notifies the others. They must not choose it as the
// home of a job any more, and need not wait until it is found unresponsive.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		c.until(2*time.Second, "three list each other", c.converged)
		leaving := c.live()[2]
		leaving.m.Leave()
		took := c.until(2*time.Second, "others list it as leaving", func() bool {
			for _, n := range c.live()[:2] {
				for _, p := range n.m.Peers() {
					if p.Address == leaving.address && !p.Leaving {
						return false
					}
				}
			}
			return true
		})
		c.kill(leaving)
		t.Logf("listed as leaving after %v, dropped after %v", took, c.until(6*time.Second, "the one that left is dropped", c.converged))
	})
}

// The store is unreachable for an hour. Every five minutes an entry crashes and a new one
// starts, which can receive the list of entries and the contracts from the other entries
// only. No contract may be lost or revert to an older revision, and no live entry may be
// dropped because its lease has lapsed. The last change before the outage reached one
// entry only.
func TestAnHourWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for i := range 41 {
			c.apply(fmt.Sprintf("c%d", i), "first", 0, 1)
		}
		for range 3 {
			c.start()
		}
		c.until(5*time.Second, "three list each other", c.converged)
		quiet := callsPerEntry(c, 10*time.Minute)

		// All watches stop responding, except that of a new entry.
		c.store.SetFaults(kv.Faults{StalledWatches: true})
		from := c.live()[0].config.Contract("c7").Revision
		last := c.apply("c7", "last", from, 9)
		c.kill(c.live()[0])
		c.start()
		c.until(time.Second, "the new entry has read the store", func() bool { return c.live()[2].config.Contract("c7").GetRevision() == last })
		c.store.SetFaults(kv.Faults{Outage: true})
		t.Logf("a change that one entry has received is in force everywhere after %v",
			c.until(9*time.Second, "last change is in force", func() bool { return c.inForce("c7", last) }))

		c.until(2*time.Minute, "the loss of the store is in the time line", func() bool {
			return !slices.ContainsFunc(c.live(), func(n *node) bool {
				lost, _ := n.events.Count(event.StoreLost)
				return lost != 1
			})
		})

		var slowestJoin, slowestDrop time.Duration
		outage := time.Now()
		before := c.store.Counts().Total()
		changes := 0
		for ; time.Since(outage) < time.Hour; changes++ {
			joined := c.start()
			slowestJoin = max(slowestJoin, c.until(9*time.Second, "new entry has the contracts", func() bool {
				return joined.config.Snapshot().Len() == 41 && c.converged()
			}))
			time.Sleep(150 * time.Second)
			c.kill(c.live()[0])
			slowestDrop = max(slowestDrop, c.until(15*time.Second, "crashed entry dropped", c.converged))
			for end := time.Now().Add(140 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
				if !c.converged() || !c.inForce("c7", last) {
					t.Fatalf("a live entry was dropped, or c7 reverted, %v into the outage", time.Since(outage))
				}
			}
		}
		during := float64(c.store.Counts().Total()-before) / time.Since(outage).Seconds() / 3 * 10
		c.store.SetFaults(kv.Faults{})
		c.until(30*time.Second, "the store serves again", func() bool { return c.store.Counts().Writes > 0 && c.converged() })
		time.Sleep(30 * time.Second)
		for _, n := range c.live() {
			lost, _ := n.events.Count(event.StoreLost)
			back, _ := n.events.Count(event.StoreBack)
			// An entry that started during the outage has reached the store only now.
			if lost > 1 || back < 1 || back > 2 {
				t.Errorf("%s recorded the store lost %d times, back %d times, in one outage", n.address, lost, back)
			}
		}
		next := c.apply("c7", "after", last, 10)
		force := c.until(9*time.Second, "change after the outage", func() bool { return c.inForce("c7", next) })
		t.Logf("%d joins and as many crashes; joins took at most %v, drops %v; change after the outage in force after %v", changes, slowestJoin, slowestDrop, force)
		t.Logf("store calls per entry and 10 s: quiet %.2f, outage %.2f, after it %.2f", quiet, during, callsPerEntry(c, 10*time.Minute))
		if quiet > 1 {
			t.Errorf("%.2f store calls per entry and 10 s at rest, want at most 1", quiet)
		}
	})
}

// callsPerEntry returns the mean number of store calls of one entry in 10 s.
func callsPerEntry(c *cluster, during time.Duration) float64 {
	before := c.store.Counts().Total()
	time.Sleep(during)
	return float64(c.store.Counts().Total()-before) / float64(len(c.live())) / during.Seconds() * 10
}

// The network is partitioned between one entry and two others while the store is down.
// Both sides must go on by themselves, and find each other again when it heals.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		c.until(2*time.Second, "three list each other", c.converged)
		c.store.SetFaults(kv.Faults{Outage: true})
		isolated := c.live()[0]
		c.setPartitioned(isolated, true)
		time.Sleep(30 * time.Minute)
		if n := len(isolated.m.Peers()); n != 1 {
			t.Errorf("the partitioned entry lists %d entries, want itself only", n)
		}
		c.setPartitioned(isolated, false)
		t.Logf("healed after %v", c.until(30*time.Second, "partition heals", c.converged))
	})
}

// An operator changes a contract while the site is idle, while an entry restarts, while
// watches are unresponsive, and while the store has 50 times its usual latency. Until the
// change is in force everywhere, some entries apply the old terms to the customer.
func TestTimeToForce(t *testing.T) {
	const usualLatency = 2 * time.Millisecond
	tests := []struct {
		name    string
		faults  kv.Faults
		restart bool
	}{
		{name: "quiet", faults: kv.Faults{Delay: usualLatency}},
		{name: "entry restarting", faults: kv.Faults{Delay: usualLatency}, restart: true},
		{name: "one watch silent", faults: kv.Faults{Delay: usualLatency, StalledWatches: true}, restart: true},
		{name: "store at 50 times its latency", faults: kv.Faults{Delay: 50 * usualLatency}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.store.SetFaults(kv.Faults{Delay: usualLatency})
				for range 3 {
					c.start()
				}
				c.until(2*time.Second, "three list each other", c.converged)
				var revision uint64
				var took []time.Duration
				for i := range 41 {
					c.store.SetFaults(tt.faults)
					began := time.Now()
					revision = c.apply("desk", fmt.Sprintf("c%d", i), revision, uint32(i+1))
					if tt.restart {
						c.kill(c.live()[0])
						c.start()
					}
					c.until(9*time.Second, "change is in force", func() bool { return c.inForce("desk", revision) })
					took = append(took, time.Since(began))
					time.Sleep(time.Duration(7+c.random()*10) * time.Second)
				}
				slices.Sort(took)
				t.Logf("time to force at all entries: p50 %v, max %v", took[20], took[40])
			})
		})
	}
}

// The entry judges its announcement by clock.Now. If the end of the announcement were given
// by time.Now, it would lie years ahead, and an entry would serve keys that others have
// taken over.
func TestAnnouncementEndsByClockOfTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = 30 * time.Second
		c := newCluster(t)
		ahead := make(chan time.Duration, 10)
		m := membership.New(membership.Options{
			Self: &pb.Peer{Entry: "entry", Incarnation: "1", Address: "10.0.0.1:7440"}, Store: c.client(c.random), Config: config.NewHolder(),
			Exchanger: &exchanger{c, "10.0.0.1:7440"}, Random: c.random, LeaseTTL: ttl,
			OnAnnounced: func(until time.Time) bool { ahead <- until.Sub(clock.Now()); return false },
		})
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { m.Run(ctx) })
		for range 2 {
			if d := <-ahead; d > ttl {
				t.Errorf("the announcement ends in %v, want at most %v", d, ttl)
			}
		}
		stop()
		wg.Wait()
	})
}
