package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/gossip"
	"github.com/papayahoist/papayahoist/dispatch/tally"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

const (
	// viewEvery is how often the view of the entries takes in the passing of time.
	viewEvery = 500 * time.Millisecond
	// tellAfter gathers changes of the living entries before agents are told: after a
	// start of all machines many come within a moment, and each telling goes to every
	// agent.
	tellAfter = 50 * time.Millisecond
)

// peer is another entry, by its address.
type peer struct {
	address string
	client  papayahoistv1connect.WorkServiceClient
	http    *http.Client
	wake    chan struct{}

	incarnation string
	heard       time.Time
	digest      uint64 // of the living entries that it has told
	version     uint64 // of the configuration in force there
	evacuations uint64 // revision of the evacuations known there
	tally       uint64 // changes of the tally that it was told
}

// peers keeps the other entries. With its partners among them this one exchanges what
// each knows: the configuration in force, and the entries that live. An entry that the
// platform's store turns away keeps up this way.
type peers struct {
	d       *Dispatcher
	ctx     context.Context
	changed chan struct{} // the view may have changed

	mu      sync.Mutex
	all     map[string]*peer
	view    *gossip.View
	changes uint64 // of the view, as taken in
	leaving bool
	told    []string // the living, as agents were last told
	tally   *tally.View
	pushing bool // partners will be told in a moment
}

func newPeers(d *Dispatcher) *peers {
	fixed := slices.DeleteFunc(slices.Clone(d.opts.Seeds), func(a string) bool { return a == d.opts.Address })
	begun := uint64(time.Now().UnixMilli())
	return &peers{
		d: d, changed: make(chan struct{}, 1), all: make(map[string]*peer),
		view: gossip.New(d.opts.Address, begun, fixed), tally: tally.New(d.opts.Address, begun),
	}
}

// run learns the seeds and keeps the living entries told until the context ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.learn(p.d.opts.Seeds)
	t := time.NewTicker(viewEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		p.tell()
		select {
		case <-p.changed:
			time.Sleep(tellAfter)
		case <-t.C:
			p.do(func(now time.Time) { p.view.Tick(now) })
			p.countWaiting(p.d.waitingHere(tally.SettleFor))
		case <-ctx.Done():
		}
	}
}

// do lets f change the view, and takes in what has changed.
func (p *peers) do(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(clock.Now())
	if p.changes == p.view.Changes() {
		return
	}
	p.changes = p.view.Changes()
	for _, a := range p.view.Living() {
		p.add(a)
	}
	for _, x := range p.all {
		x.signal() // it may have become a partner, or be none any more
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// tell passes the living entries on to the core, for agents, when they change.
func (p *peers) tell() {
	living := p.living()
	p.mu.Lock()
	same := slices.Equal(living, p.told)
	p.told = living
	p.mu.Unlock()
	if !same {
		p.d.decide(func(time.Time) { p.d.core.SetEntries(living) })
	}
}

// living lists the entries known to live, this one included, in order.
func (p *peers) living() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Living()
}

func (p *peers) learn(addresses []string) {
	p.do(func(now time.Time) {
		p.view.Learn(now, addresses)
		for _, a := range addresses {
			p.add(a)
		}
	})
}

// add keeps an entry, by its address. The lock is held.
func (p *peers) add(address string) {
	if p.ctx == nil || address == "" || address == p.d.opts.Address || p.all[address] != nil {
		return
	}
	client := rpc.NewClient(nil)
	x := &peer{
		address: address, http: client,
		client: papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(address, nil), rpc.NoCompressionWanted),
		wake:   make(chan struct{}, 1),
	}
	p.all[address] = x
	go p.exchange(p.ctx, x)
}

func (p *peers) forget(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Known(x.address) {
		return false
	}
	delete(p.all, x.address)
	return true
}

func (x *peer) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (p *peers) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.wakePartners(func(*peer) bool { return true })
}

// others are the other living entries.
func (p *peers) others() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, a := range p.view.Living() {
		if x := p.all[a]; x != nil {
			out = append(out, x)
		}
	}
	return out
}

// ask calls some entries at the same time, and returns when all have answered or the
// time of one exchange is over. A connection to one that is no partner isn't kept.
func (p *peers) ask(ctx context.Context, whom []*peer, call func(ctx context.Context, x *peer)) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, x := range whom {
		wg.Go(func() {
			call(ctx, x)
			if !p.partner(x) {
				x.http.CloseIdleConnections()
			}
		})
	}
	wg.Wait()
}

func (p *peers) partner(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Partner(x.address)
}

// cancel asks every living entry to end a job.
func (p *peers) cancel(ctx context.Context, queue, id string) bool {
	var mu sync.Mutex
	known := false
	p.ask(ctx, p.others(), func(ctx context.Context, x *peer) {
		resp, err := x.client.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Queue: queue, Job: id}))
		if err != nil {
			p.d.opts.Logger.Warn("cancel_unanswered", "entry", x.address, "job", id, "err", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		known = known || resp.Msg.Known
	})
	return known
}
