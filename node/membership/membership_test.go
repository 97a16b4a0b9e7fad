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
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/platform/standin/inproc"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
	"google.golang.org/protobuf/proto"
)

// balancer is the address at which any living entry may answer.
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

// cluster is entries on one clock, with a network that can be cut.
type cluster struct {
	t      testing.TB
	store  *kv.Server
	random func() float64

	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[string]bool
	started  int
	turn     int
	messages int
	bytes    int
}

func newCluster(t testing.TB) *cluster {
	return &cluster{t: t, store: kv.New(kv.Options{}), random: source(0), nodes: map[string]*node{}, cut: map[string]bool{}}
}

// source returns random numbers of their own for each process.
func source(seed int) func() float64 {
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

// start adds an entry process.
func (c *cluster) start() *node {
	c.mu.Lock()
	address := fmt.Sprintf("10.0.0.%d", c.started+1)
	c.mu.Unlock()
	return c.startAt(address)
}

// startAt adds an entry process at the address of one that has ended.
func (c *cluster) startAt(address string) *node {
	c.started++
	ctx, stop := context.WithCancel(context.Background())
	n := &node{address: address, config: config.NewHolder(), events: event.NewRing(event.Options{Size: 64}), stop: stop, done: make(chan struct{})}
	random := source(c.started)
	self := &pb.Peer{Entry: "entry", Incarnation: fmt.Sprintf("%08x%024x", int(random()*1e9), c.started), Address: address, FailureDomain: "a"}
	n.m = membership.New(membership.Options{
		Self: self, Store: c.client(random), Config: n.config, Join: []string{balancer}, Exchanger: &carrier{c, address}, Random: random,
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

// kill ends a process without a word.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	delete(c.nodes, n.address)
	c.mu.Unlock()
	n.stop()
	<-n.done
}

// setCut cuts a process off from all that are not, or ends that.
func (c *cluster) setCut(n *node, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[n.address] = cut
}

func (c *cluster) close() {
	for _, n := range c.living() {
		c.kill(n)
	}
}

func (c *cluster) living() []*node {
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

// carrier is the network as one entry sees it.
type carrier struct {
	c    *cluster
	from string
}

func (k *carrier) Exchange(ctx context.Context, to string, state *pb.PeerState) (*pb.PeerState, error) {
	c := k.c
	if to == balancer {
		living := c.living()
		c.mu.Lock()
		c.turn++
		to = living[c.turn%len(living)].address
		c.mu.Unlock()
	}
	c.mu.Lock()
	target, cut := c.nodes[to], c.cut[k.from] != c.cut[to]
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

// until waits in steps of virtual time and returns how long it took.
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

// agreed says that all living entries know each other, and nobody else.
func (c *cluster) agreed() bool {
	living := c.living()
	for _, n := range living {
		peers := n.m.Peers()
		if len(peers) != len(living) {
			return false
		}
		for _, p := range peers {
			if !slices.ContainsFunc(living, func(n *node) bool { return n.address == p.Address }) {
				return false
			}
		}
	}
	return true
}

// inForce says that all living entries run at least a revision of a contract.
func (c *cluster) inForce(name string, revision uint64) bool {
	for _, n := range c.living() {
		if n.config.Snapshot().Held(name).GetRevision() < revision {
			return false
		}
	}
	return true
}

func (c *cluster) apply(name, id string, from uint64, weight uint32) uint64 {
	c.t.Helper()
	revision, err := config.NewEditor(c.client(c.random), config.EditorOptions{Random: c.random}).Apply(context.Background(), contract.Change{
		Contract: &pb.Contract{Name: name, Revision: from, Rate: 5, Concurrency: 4, Waiting: 10, MemoryBytes: 1 << 30, Weight: weight},
		ID:       id, By: "ann", At: time.Now(),
	})
	if err != nil {
		c.t.Fatalf("apply %s: %v", id, err)
	}
	return revision
}

// Entries start, one dies without a word, one is restarted at the same address,
// and one is paused. A dead entry that is still listed gets jobs forwarded that
// wait for nothing; a living one that is dropped has its jobs answered as unknown.
func TestJoinDieRestartPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		t.Logf("three entries know each other after %v", c.until(2*time.Second, "three know each other", c.agreed))
		fourth := c.start()
		t.Logf("a fourth is known after %v", c.until(2*time.Second, "fourth joins", c.agreed))

		c.kill(fourth)
		t.Logf("a dead one is dropped after %v", c.until(15*time.Second, "dead one dropped", c.agreed))

		third := c.living()[2]
		c.kill(third)
		c.startAt(third.address)
		t.Logf("a restarted one is known anew after %v", c.until(5*time.Second, "restarted one known", c.agreed))

		paused := c.living()[1]
		c.setCut(paused, true)
		time.Sleep(time.Minute)
		if n := len(c.living()[0].m.Peers()); n != 2 {
			t.Errorf("%d entries listed while one is paused, want 2", n)
		}
		c.setCut(paused, false)
		t.Logf("a paused one is back after %v", c.until(20*time.Second, "paused one back", c.agreed))
	})
}

// An entry that leaves in order says so: no caller's job may be sent there as to
// a new home, and nobody has to wait until it is found silent.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		c.until(2*time.Second, "three know each other", c.agreed)
		leaving := c.living()[2]
		leaving.m.Leave()
		took := c.until(2*time.Second, "others know that it leaves", func() bool {
			for _, n := range c.living()[:2] {
				for _, p := range n.m.Peers() {
					if p.Address == leaving.address && !p.Leaving {
						return false
					}
				}
			}
			return true
		})
		c.kill(leaving)
		t.Logf("leaving is known after %v, gone after %v", took, c.until(6*time.Second, "left one is dropped", c.agreed))
	})
}

// The store is gone for an hour. Meanwhile an entry dies every five minutes and a
// new one starts, which can learn of the others and of the contracts from nobody
// but them. A customer must notice nothing: no contract is lost or jumps back,
// and no living entry is dropped because its lease has lapsed. The last change
// before the outage reached one entry only.
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
		c.until(5*time.Second, "three know each other", c.agreed)
		quiet := callsPerEntry(c, 10*time.Minute)

		// The watches go silent, all but that of a fresh entry.
		c.store.SetFaults(kv.Faults{SilentWatches: true})
		from := c.living()[0].config.Contract("c7").Revision
		last := c.apply("c7", "last", from, 9)
		c.kill(c.living()[0])
		c.start()
		c.until(time.Second, "the fresh entry has listed", func() bool { return c.living()[2].config.Contract("c7").GetRevision() == last })
		c.store.SetFaults(kv.Faults{Outage: true})
		t.Logf("a change that one entry has seen is in force everywhere after %v",
			c.until(9*time.Second, "last change is spread", func() bool { return c.inForce("c7", last) }))

		c.until(2*time.Minute, "the loss of the store is in the time line", func() bool {
			return !slices.ContainsFunc(c.living(), func(n *node) bool {
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
				return joined.config.Snapshot().Len() == 41 && c.agreed()
			}))
			time.Sleep(150 * time.Second)
			c.kill(c.living()[0])
			slowestDrop = max(slowestDrop, c.until(15*time.Second, "dead entry dropped", c.agreed))
			for end := time.Now().Add(140 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
				if !c.agreed() || !c.inForce("c7", last) {
					t.Fatalf("a living entry was dropped, or c7 jumped back, %v into the outage", time.Since(outage))
				}
			}
		}
		during := float64(c.store.Counts().Total()-before) / time.Since(outage).Seconds() / 3 * 10
		c.store.SetFaults(kv.Faults{})
		c.until(30*time.Second, "the store serves again", func() bool { return c.store.Counts().Writes > 0 && c.agreed() })
		time.Sleep(30 * time.Second)
		for _, n := range c.living() {
			lost, _ := n.events.Count(event.StoreLost)
			back, _ := n.events.Count(event.StoreBack)
			// One that started in the outage has met the store only now.
			if lost > 1 || back < 1 || back > 2 {
				t.Errorf("%s recorded the store lost %d times, back %d times, in one outage", n.address, lost, back)
			}
		}
		next := c.apply("c7", "after", last, 10)
		force := c.until(9*time.Second, "change after the outage", func() bool { return c.inForce("c7", next) })
		t.Logf("%d joins and as many deaths; joins took at most %v, drops %v; change after the outage in force after %v", changes, slowestJoin, slowestDrop, force)
		t.Logf("store calls per entry and 10 s: quiet %.2f, outage %.2f, after it %.2f", quiet, during, callsPerEntry(c, 10*time.Minute))
		if quiet > 1 {
			t.Errorf("%.2f store calls per entry and 10 s at rest, want at most 1", quiet)
		}
	})
}

// callsPerEntry is the store calls of one entry in 10 s.
func callsPerEntry(c *cluster, during time.Duration) float64 {
	before := c.store.Counts().Total()
	time.Sleep(during)
	return float64(c.store.Counts().Total()-before) / float64(len(c.living())) / during.Seconds() * 10
}

// The network cuts two entries off from a third, and the store is down. Both
// sides go on by themselves, and find each other again when it heals.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		for range 3 {
			c.start()
		}
		c.until(2*time.Second, "three know each other", c.agreed)
		c.store.SetFaults(kv.Faults{Outage: true})
		alone := c.living()[0]
		c.setCut(alone, true)
		time.Sleep(30 * time.Minute)
		if n := len(alone.m.Peers()); n != 1 {
			t.Errorf("the one cut off lists %d entries, want itself", n)
		}
		c.setCut(alone, false)
		t.Logf("whole again after %v", c.until(30*time.Second, "partition heals", c.agreed))
	})
}

// An operator changes a contract while the site is quiet, while an entry restarts,
// while watches are silent, and while the store takes 50 times as long as usual.
// Until the change is in force everywhere the customer is held to the old terms
// at some entries.
func TestTimeToForce(t *testing.T) {
	const usual = 2 * time.Millisecond
	tests := []struct {
		name    string
		faults  kv.Faults
		restart bool
	}{
		{name: "quiet", faults: kv.Faults{Delay: usual}},
		{name: "entry restarting", faults: kv.Faults{Delay: usual}, restart: true},
		{name: "one watch silent", faults: kv.Faults{Delay: usual, SilentWatches: true}, restart: true},
		{name: "store at 50 times its latency", faults: kv.Faults{Delay: 50 * usual}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				c.store.SetFaults(kv.Faults{Delay: usual})
				for range 3 {
					c.start()
				}
				c.until(2*time.Second, "three know each other", c.agreed)
				var revision uint64
				var took []time.Duration
				for i := range 41 {
					c.store.SetFaults(tt.faults)
					asked := time.Now()
					revision = c.apply("desk", fmt.Sprintf("c%d", i), revision, uint32(i+1))
					if tt.restart {
						c.kill(c.living()[0])
						c.start()
					}
					c.until(9*time.Second, "change is in force", func() bool { return c.inForce("desk", revision) })
					took = append(took, time.Since(asked))
					time.Sleep(time.Duration(7+c.random()*10) * time.Second)
				}
				slices.Sort(took)
				t.Logf("time to force at all entries: p50 %v, max %v", took[20], took[40])
			})
		})
	}
}
