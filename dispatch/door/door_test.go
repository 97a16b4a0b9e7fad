package door_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/door"
)

const (
	skew     = 200 * time.Millisecond
	leaseTTL = 4 * time.Second
	step     = 50 * time.Millisecond
)

// process is one entry with its door. Its clock is off by up to a quarter of the
// skew that doors allow for.
type process struct {
	name  string
	door  *door.Door
	off   time.Duration
	until time.Time // paused
	alive bool
	known map[string]bool
}

// world is a set of entries, the store's list and the messages between them.
type world struct {
	rng       *rand.Rand
	now       time.Time
	processes []*process
	leases    map[string]time.Time
	storeDown bool
	cuts      map[string]time.Time
	inbox     []message
	started   map[string]string // key to the entry that started it
	mine      int
}

type message struct {
	at     time.Time
	to     *process
	from   string
	stamp  time.Time
	echoes []door.Echo
	peers  map[string]bool
	asks   bool
	list   []string // of the store, in place of a state
	read   time.Time
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.off) }

func (w *world) add() {
	p := &process{
		name: fmt.Sprintf("e%d", len(w.processes)), alive: true, known: map[string]bool{},
		off: time.Duration(w.rng.Int64N(int64(skew/2))) - skew/4,
	}
	p.door = door.New(p.name, door.Options{Skew: skew, KeyTTL: time.Minute})
	w.processes = append(w.processes, p)
}

func (w *world) up(p *process) bool { return p.alive && !w.now.Before(p.until) }

func (w *world) cut(a, b string) bool {
	return w.now.Before(w.cuts[a+b]) || w.now.Before(w.cuts[b+a])
}

// renew is the store's side of an announcement, and the reading of the list.
func (w *world) renew(p *process) {
	if w.storeDown {
		return
	}
	w.leases[p.name] = w.now.Add(leaseTTL)
	p.door.Announced(w.clock(p), w.clock(p).Add(leaseTTL-step))
	var list []string
	for _, o := range w.processes {
		if w.now.Before(w.leases[o.name]) {
			list = append(list, o.name)
			p.known[o.name] = true
		}
	}
	at := w.now.Add(time.Duration(w.rng.Int64N(int64(4 * step))))
	w.inbox = append(w.inbox, message{at: at, to: p, list: list, read: w.clock(p)})
}

func (w *world) send(p *process, to *process, asks bool) {
	stamp, echoes := p.door.State(w.clock(p))
	if w.cut(p.name, to.name) || w.rng.IntN(20) == 0 {
		return
	}
	peers := map[string]bool{p.name: true}
	for name := range p.known {
		peers[name] = true
	}
	at := w.now.Add(time.Duration(w.rng.Int64N(int64(4 * step))))
	w.inbox = append(w.inbox, message{at: at, to: to, from: p.name, stamp: stamp, echoes: echoes, peers: peers, asks: asks})
}

func (w *world) deliver() {
	var later []message
	due := w.inbox
	w.inbox = nil
	for _, m := range due {
		switch {
		case !m.to.alive:
		case w.now.Before(m.at) || !w.up(m.to):
			later = append(later, m)
		case m.list != nil:
			m.to.door.Listed(w.clock(m.to), m.read, m.list)
		default:
			m.to.door.Heard(w.clock(m.to), m.from, m.stamp, m.echoes)
			for name := range m.peers {
				m.to.known[name] = true
			}
			if m.asks {
				w.send(m.to, w.named(m.from), false)
			}
		}
	}
	w.inbox = append(w.inbox, later...)
}

func (w *world) named(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *world) fault() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	q := w.processes[w.rng.IntN(len(w.processes))]
	d := time.Duration(w.rng.Int64N(int64(2 * leaseTTL)))
	switch w.rng.IntN(6) {
	case 0:
		p.until = w.now.Add(d)
	case 1, 2:
		w.cuts[p.name+q.name] = w.now.Add(d)
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

func (w *world) submit(t *testing.T, seed uint64, key string, firstSent time.Time) {
	p := w.processes[w.rng.IntN(len(w.processes))]
	for range 2 {
		if !w.up(p) {
			return
		}
		verdict, home := p.door.Home(w.clock(p), key, firstSent)
		switch verdict {
		case door.Mine:
			w.mine++
			if by := w.started[key]; by != "" && by != p.name {
				t.Fatalf("seed %d: key %s started by %s and by %s", seed, key, by, p.name)
			}
			w.started[key] = p.name
			return
		case door.Unsure:
			return
		}
		p = w.named(home)
	}
}

// Entries join, pause, are cut off from each other and from the store, and lose
// messages, while callers send keys again and again to any of them. Two entries
// that take themselves for the home of a key would each stamp the certificate.
func TestOneHomePerKey(t *testing.T) {
	served := 0
	for seed := range uint64(400) {
		w := &world{
			rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(10_000, 0),
			leases: map[string]time.Time{}, cuts: map[string]time.Time{}, started: map[string]string{},
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
				w.fault()
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
	// Faults come every few seconds and outlast the leases. What is served all the
	// same shows that the check has something to look at.
	if served < 25_000 {
		t.Errorf("%d of %d keys served, want 25,000", served, 400*300)
	}
	t.Logf("%d of %d keys served", served, 400*300)
}
