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
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

const (
	defaultShareEvery = 500 * time.Millisecond
	// shareTimeout is a few round trips of the slowest link to another entry; a
	// connection that has gone silent is given up after it.
	shareTimeout = 400 * time.Millisecond
	// peerLostAfter is how long an entry that does not answer counts as living.
	peerLostAfter = 2 * time.Second
	// peerForgottenAfter is how long it is asked again, unless it is a seed.
	peerForgottenAfter = time.Minute
)

// peer is another entry, by its address.
type peer struct {
	address string
	client  papayahoistv1connect.WorkServiceClient
	http    *http.Client
	wake    chan struct{}

	incarnation string
	heard       time.Time
	since       time.Time
	version     uint64
	waiting     []*pb.WaitingJobs
	leaving     bool
}

// peers keeps the other entries and exchanges with them what each knows: the
// configuration in force, the entries that live, and how many jobs wait. An entry
// that the platform's store turns away keeps up this way.
type peers struct {
	d     *Dispatcher
	every time.Duration
	ctx   context.Context

	mu      sync.Mutex
	all     map[string]*peer
	leaving bool
	told    []string // the living, as agents were last told
}

func newPeers(d *Dispatcher) *peers {
	p := &peers{d: d, every: d.opts.ShareEvery, all: make(map[string]*peer)}
	if p.every == 0 {
		p.every = defaultShareEvery
	}
	return p
}

// run learns the seeds and keeps the living entries told until the context ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.learn(p.d.opts.Seeds)
	t := time.NewTicker(p.every)
	defer t.Stop()
	for ctx.Err() == nil {
		p.tell()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// tell passes the living entries on to the core, for agents, when they change.
func (p *peers) tell() {
	living := append(p.living(), p.d.opts.Address)
	slices.Sort(living)
	p.mu.Lock()
	same := slices.Equal(living, p.told)
	p.told = living
	p.mu.Unlock()
	if !same {
		p.d.decide(func(time.Time) { p.d.core.SetEntries(living) })
	}
}

func (p *peers) living() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, x := range p.all {
		if !x.heard.IsZero() && clock.Now().Sub(x.heard) < peerLostAfter {
			out = append(out, x.address)
		}
	}
	return out
}

func (p *peers) learn(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		return
	}
	for _, address := range addresses {
		if address == "" || address == p.d.opts.Address || p.all[address] != nil {
			continue
		}
		client := rpc.NewClient(nil)
		x := &peer{
			address: address, http: client,
			client: papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(address, nil), rpc.NoCompressionWanted),
			wake:   make(chan struct{}, 1), since: clock.Now(),
		}
		p.all[address] = x
		go p.exchange(p.ctx, x)
	}
}

// exchange talks to one entry until it is forgotten.
func (p *peers) exchange(ctx context.Context, x *peer) {
	defer x.http.CloseIdleConnections()
	for ctx.Err() == nil && !p.forget(x) {
		p.share(ctx, x)
		select {
		case <-time.After(p.every):
		case <-x.wake:
		case <-ctx.Done():
		}
	}
}

func (p *peers) forget(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := x.heard
	if last.IsZero() {
		last = x.since
	}
	if clock.Now().Sub(last) < peerForgottenAfter || slices.Contains(p.d.opts.Seeds, x.address) {
		return false
	}
	delete(p.all, x.address)
	return true
}

func (p *peers) share(ctx context.Context, x *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	c := p.d.Configuration()
	req := &pb.ShareRequest{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Address: p.d.opts.Address,
		Version: c.GetVersion(), Entries: p.living(), Waiting: p.waitingMessage(),
	}
	p.mu.Lock()
	req.Leaving = p.leaving
	if x.version < c.GetVersion() {
		req.Configuration = c
	}
	p.mu.Unlock()
	resp, err := x.client.Share(ctx, connect.NewRequest(req))
	if err != nil {
		// The connection may have gone silent: the next exchange takes a new one.
		x.http.CloseIdleConnections()
		return
	}
	m := resp.Msg
	p.heard(x, m.Incarnation, m.Version, m.Waiting, m.Leaving)
	p.learn(m.Entries)
	if m.Configuration != nil {
		p.d.SetConfiguration(m.Configuration)
	}
}

func (p *peers) heard(x *peer, incarnation string, version uint64, waiting []*pb.WaitingJobs, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x.heard.IsZero() || clock.Now().Sub(x.heard) >= peerLostAfter || x.incarnation != incarnation {
		p.d.opts.Logger.Info("entry_found", "entry", x.address, "incarnation", incarnation, "version", version)
	}
	x.incarnation, x.heard, x.version, x.waiting, x.leaving = incarnation, clock.Now(), version, waiting, leaving
}

// serve answers another entry's exchange.
func (p *peers) serve(req *pb.ShareRequest) *pb.ShareResponse {
	if req.Configuration != nil {
		p.d.SetConfiguration(req.Configuration)
	}
	p.learn(append(req.Entries, req.Address))
	p.mu.Lock()
	x := p.all[req.Address]
	p.mu.Unlock()
	if x != nil {
		p.heard(x, req.Incarnation, req.Version, req.Waiting, req.Leaving)
	}
	c := p.d.Configuration()
	resp := &pb.ShareResponse{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Version: c.GetVersion(),
		Entries: p.living(), Waiting: p.waitingMessage(),
	}
	if req.Version < c.GetVersion() {
		resp.Configuration = c
	}
	p.mu.Lock()
	resp.Leaving = p.leaving
	p.mu.Unlock()
	return resp
}

func (p *peers) waitingMessage() []*pb.WaitingJobs {
	var out []*pb.WaitingJobs
	for queue, n := range p.d.waitingHere() {
		out = append(out, &pb.WaitingJobs{Queue: queue, Jobs: uint32(n)})
	}
	return out
}

// waiting counts the jobs that wait at other living entries.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, x := range p.all {
		if clock.Now().Sub(x.heard) >= peerLostAfter {
			continue
		}
		for _, w := range x.waiting {
			if w.Queue == queue {
				n += int(w.Jobs)
			}
		}
	}
	return n
}

// push exchanges with every entry at once.
func (p *peers) push() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		select {
		case x.wake <- struct{}{}:
		default:
		}
	}
}

func (p *peers) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.push()
}

// cancel asks every living entry to end a job.
func (p *peers) cancel(ctx context.Context, queue, id string) bool {
	p.mu.Lock()
	var ask []*peer
	for _, x := range p.all {
		if clock.Now().Sub(x.heard) < peerLostAfter {
			ask = append(ask, x)
		}
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	known := make(chan bool, len(ask))
	for _, x := range ask {
		go func() {
			resp, err := x.client.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Queue: queue, Job: id}))
			if err != nil {
				p.d.opts.Logger.Warn("cancel_unanswered", "entry", x.address, "job", id, "err", err)
			}
			known <- err == nil && resp.Msg.Known
		}()
	}
	any := false
	for range ask {
		any = <-known || any
	}
	return any
}
