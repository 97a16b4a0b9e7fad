package keyhome_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/keyhome"
)

const (
	skew     = 200 * time.Millisecond
	leaseTTL = 4 * time.Second
	step     = 50 * time.Millisecond
)

// process is one entry with its Resolver. Its clock is off by up to a quarter of the
// allowed skew.
type process struct {
	name        string
	resolver    *keyhome.Resolver
	clockOffset time.Duration
	pausedUntil time.Time // end of its pause
	alive       bool
	known       map[string]bool
}

// cluster is a set of entries, the store's list and the messages between them.
type cluster struct {
	rng           *rand.Rand
	now           time.Time
	processes     []*process
	leases        map[string]time.Time
	storeDown     bool
	partitions    map[string]time.Time
	inbox         []message
	started       map[string]string // key to the entry that started it
	localVerdicts int
}

type message struct {
	at         time.Time
	to         *process
	from       string
	stamp      time.Time
	echoes     []keyhome.Echo
	peers      map[string]bool
	wantsReply bool
	list       []string // the store's list, instead of a state
	readAt     time.Time
}

func (w *cluster) clock(p *process) time.Time { return w.now.Add(p.clockOffset) }

func (w *cluster) add() {
	p := &process{
		name: fmt.Sprintf("e%d", len(w.processes)), alive: true, known: map[string]bool{},
		clockOffset: time.Duration(w.rng.Int64N(int64(skew/2))) - skew/4,
	}
	p.resolver = keyhome.New(p.name, keyhome.Options{Skew: skew, KeyTTL: time.Minute})
	w.processes = append(w.processes, p)
}

func (w *cluster) up(p *process) bool { return p.alive && !w.now.Before(p.pausedUntil) }

func (w *cluster) partitioned(a, b string) bool {
	return w.now.Before(w.partitions[a+b]) || w.now.Before(w.partitions[b+a])
}

// renew simulates the renewal of an announcement at the store and the reading of
// the list.
func (w *cluster) renew(p *process) {
	if w.storeDown {
		return
	}
	w.leases[p.name] = w.now.Add(leaseTTL)
	p.resolver.AnnouncementRenewed(w.clock(p), w.clock(p).Add(leaseTTL-step))
	var list []string
	for _, o := range w.processes {
		if w.now.Before(w.leases[o.name]) {
			list = append(list, o.name)
			p.known[o.name] = true
		}
	}
	at := w.now.Add(time.Duration(w.rng.Int64N(int64(4 * step))))
	w.inbox = append(w.inbox, message{at: at, to: p, list: list, readAt: w.clock(p)})
}

func (w *cluster) send(p *process, to *process, asks bool) {
	stamp, echoes := p.resolver.State(w.clock(p))
	if w.partitioned(p.name, to.name) || w.rng.IntN(20) == 0 {
		return
	}
	peers := map[string]bool{p.name: true}
	for name := range p.known {
		peers[name] = true
	}
	at := w.now.Add(time.Duration(w.rng.Int64N(int64(4 * step))))
	w.inbox = append(w.inbox, message{at: at, to: to, from: p.name, stamp: stamp, echoes: echoes, peers: peers, wantsReply: asks})
}

func (w *cluster) deliver() {
	var later []message
	messages := w.inbox
	w.inbox = nil
	for _, m := range messages {
		switch {
		case !m.to.alive:
		case w.now.Before(m.at) || !w.up(m.to):
			later = append(later, m)
		case m.list != nil:
			m.to.resolver.ApplyList(w.clock(m.to), m.readAt, m.list)
		default:
			m.to.resolver.ReceiveState(w.clock(m.to), m.from, m.stamp, m.echoes)
			for name := range m.peers {
				m.to.known[name] = true
			}
			if m.wantsReply {
				w.send(m.to, w.process(m.from), false)
			}
		}
	}
	w.inbox = append(w.inbox, later...)
}

func (w *cluster) process(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *cluster) injectFault() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	q := w.processes[w.rng.IntN(len(w.processes))]
	d := time.Duration(w.rng.Int64N(int64(2 * leaseTTL)))
	switch w.rng.IntN(6) {
	case 0:
		p.pausedUntil = w.now.Add(d)
	case 1, 2:
		w.partitions[p.name+q.name] = w.now.Add(d)
	case 3:
		w.storeDown = !w.storeDown
	case 4:
		p.alive = len(w.processes) < 3
	case 5:
		if len(w.processes) < 8 {
			w.add()
		}
	}
}

func (w *cluster) submit(t *testing.T, seed uint64, key string, firstSent time.Time) {
	p := w.processes[w.rng.IntN(len(w.processes))]
	for range 2 {
		if !w.up(p) {
			return
		}
		p.resolver.ExpireAnnouncement(w.clock(p))
		verdict, home := p.resolver.Home(w.clock(p), key, firstSent)
		switch verdict {
		case keyhome.Local:
			w.localVerdicts++
			if by := w.started[key]; by != "" && by != p.name {
				t.Fatalf("seed %d: key %s started by %s and by %s", seed, key, by, p.name)
			}
			w.started[key] = p.name
			return
		case keyhome.Unknown:
			return
		}
		p = w.process(home)
	}
}

// Entries join, pause, are partitioned from each other and from the store, and lose
// messages, while callers repeatedly send keys to any of them. If two entries both
// considered themselves the home of a key, its job would run twice.
func TestOneHomePerKey(t *testing.T) {
	served := 0
	for seed := range uint64(400) {
		w := &cluster{
			rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(10_000, 0),
			leases: map[string]time.Time{}, partitions: map[string]time.Time{}, started: map[string]string{},
		}
		w.add()
		w.add()
		first := map[string]time.Time{}
		for tick := range 1200 {
			w.now = w.now.Add(step)
			w.deliver()
			for _, p := range w.processes {
				if !w.up(p) {
					continue
				}
				if w.rng.IntN(20) == 0 {
					w.renew(p)
				}
				for _, q := range w.processes {
					if p != q && p.known[q.name] && w.rng.IntN(10) == 0 {
						w.send(p, q, true)
					}
				}
			}
			if w.rng.IntN(50) == 0 {
				w.injectFault()
			}
			if tick%4 == 0 {
				key := fmt.Sprintf("k%d", tick)
				first[key] = w.now.Add(time.Duration(w.rng.Int64N(int64(skew/2))) - skew/4)
				w.submit(t, seed, key, first[key])
			}
			for range 3 {
				key := fmt.Sprintf("k%d", w.rng.IntN(tick+1)/4*4)
				w.submit(t, seed, key, first[key])
			}
		}
		served += len(w.started)
	}
	// Faults occur every few seconds and outlast the leases. The minimum ensures that
	// enough keys are started for the check to be meaningful.
	if served < 25_000 {
		t.Errorf("%d of %d keys served, want 25,000", served, 400*300)
	}
	t.Logf("%d of %d keys served", served, 400*300)
}
