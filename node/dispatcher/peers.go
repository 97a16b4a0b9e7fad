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
	"github.com/papayahoist/papayahoist/dispatch/catchup"
	"github.com/papayahoist/papayahoist/dispatch/gossip"
	"github.com/papayahoist/papayahoist/dispatch/tally"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/platform/progress"
)

const (
	// viewInterval is the time between two ticks of the view of the entries.
	viewInterval = 500 * time.Millisecond
	// notifyDelay batches changes of the live entries before agents are notified: when
	// all machines start, many changes arrive within a short time, and each notification
	// goes to every agent.
	notifyDelay = 50 * time.Millisecond
	// reportBehindAfter is how long another entry must have had a newer configuration for
	// this to be logged. Changes take a fraction of it when nothing is wrong.
	reportBehindAfter = time.Second
)

// peer is another entry, identified by its address.
type peer struct {
	address string
	client  papayahoistv1connect.WorkServiceClient
	http    *http.Client
	wake    chan struct{}

	incarnation  string
	lastReceived time.Time
	digest       uint64 // of the live entries, as it sent it last
	version      uint64 // of the configuration in force there
	evacuations  uint64 // revision of the evacuations known there
	tally        uint64 // tally.View.Changes when it was last sent the tally
	failing      bool   // the last exchange that this entry started has failed
	fetches      bool   // it fetches configurations, and none is sent to it
}

// peers holds the other entries. With its partners among them, this entry exchanges the
// version of the configuration in force, the evacuations, the live entries and the counts of
// waiting jobs, and it fetches the configuration from one that has a newer version. An entry
// that can't reach the platform's store stays up to date this way.
type peers struct {
	d       *Dispatcher
	ctx     context.Context
	changed chan struct{} // the view may have changed
	cancels chan struct{} // one element for each search for a job to cancel

	mu          sync.Mutex
	all         map[string]*peer
	view        *gossip.View
	viewVersion uint64 // view.Changes at the last update
	leaving     bool
	notified    []string // the live entries of which agents were last notified
	tally       *tally.View
	pushing     bool // a push to partners is scheduled

	versions       *catchup.Tracker
	fetchTimer     *time.Timer
	reportedBehind uint64 // newest version at the last report of being behind
}

func newPeers(d *Dispatcher) *peers {
	fixed := slices.DeleteFunc(slices.Clone(d.opts.Seeds), func(a string) bool { return a == d.opts.Address })
	startMs := uint64(time.Now().UnixMilli())
	p := &peers{
		d: d, changed: make(chan struct{}, 1), cancels: make(chan struct{}, maxCancels), all: make(map[string]*peer),
		view: gossip.New(d.opts.Address, startMs, fixed), tally: tally.New(d.opts.Address, startMs),
		versions: newVersionTracker(),
	}
	p.fetchTimer = time.AfterFunc(time.Hour, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.startFetch()
	})
	return p
}

// run adds the seeds, and updates the view and notifies agents of it until the context
// ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.addCandidates(p.d.opts.Seeds)
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		p.notifyAgents()
		select {
		case <-p.changed:
			time.Sleep(notifyDelay)
		case <-t.C:
			p.updateView(func(now time.Time) { p.view.Tick(now) })
			p.countWaiting(p.d.waitingLocal(tally.MinWait))
			p.reportBehind()
		case <-ctx.Done():
		}
	}
}

// updateView calls f, which may change the view, and applies the changes.
func (p *peers) updateView(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(clock.Now())
	if p.viewVersion == p.view.Version() {
		return
	}
	p.viewVersion = p.view.Version()
	for _, a := range p.view.Alive() {
		p.addPeer(a)
	}
	for _, x := range p.all {
		if !p.view.IsAlive(x.address) {
			p.versions.Remove(x.address)
		}
		x.signal() // it may have become a partner or ceased to be one
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// notifyAgents passes the live entries to the core, which notifies agents, if they have
// changed.
func (p *peers) notifyAgents() {
	alive := p.alive()
	p.mu.Lock()
	same := slices.Equal(alive, p.notified)
	p.notified = alive
	p.mu.Unlock()
	if !same {
		p.d.decide(func(time.Time) { p.d.core.SetEntries(alive) })
	}
}

// alive returns the entries known to be alive, including this one, in order.
func (p *peers) alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Alive()
}

func (p *peers) addCandidates(addresses []string) {
	p.updateView(func(now time.Time) {
		p.view.AddCandidates(now, addresses)
		for _, a := range addresses {
			p.addPeer(a)
		}
	})
}

// addPeer adds the entry at an address and starts its exchanges. The caller holds p.mu.
func (p *peers) addPeer(address string) {
	if p.ctx == nil || address == "" || address == p.d.opts.Address || p.all[address] != nil {
		return
	}
	client := rpc.NewClient(nil)
	client.Transport = progress.Transport{Next: client.Transport}
	x := &peer{
		address: address, http: client,
		client: papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(address, nil), rpc.NoAcceptCompression),
		wake:   make(chan struct{}, 1),
	}
	p.all[address] = x
	go p.exchangeLoop(p.ctx, x)
}

func (p *peers) forget(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view.Known(x.address) {
		return false
	}
	delete(p.all, x.address)
	p.versions.Remove(x.address)
	return true
}

func (x *peer) signal() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// setOwnVersion records the version in force here, and returns how long another entry has
// had it before.
func (p *peers) setOwnVersion(version uint64) (behind time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.SetOwn(clock.Now(), version)
}

func (p *peers) newestVersion() (version uint64, behind time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.versions.Newest(clock.Now())
}

// reportBehind logs once for each version that other entries have had for a while and this
// one lacks.
func (p *peers) reportBehind() {
	newest, behind := p.newestVersion()
	if behind < reportBehindAfter || newest == p.reportedBehind {
		return
	}
	p.reportedBehind = newest
	p.d.opts.Logger.Warn("configuration_behind", "version", p.d.Configuration().GetVersion(), "newest", newest,
		"behind_ms", behind.Milliseconds())
}

func (p *peers) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.wakePartners(func(*peer) bool { return true })
}

// others returns the other live entries.
func (p *peers) others() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, a := range p.view.Alive() {
		if x := p.all[a]; x != nil {
			out = append(out, x)
		}
	}
	return out
}

// callAll calls the given entries concurrently. It returns when all have responded or
// exchangeTimeout is over. Connections to entries that aren't partners are closed.
func (p *peers) callAll(ctx context.Context, targets []*peer, call func(ctx context.Context, x *peer)) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, x := range targets {
		wg.Go(func() {
			call(ctx, x)
			if !p.isPartner(x) {
				x.http.CloseIdleConnections()
			}
		})
	}
	wg.Wait()
}

func (p *peers) isPartner(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.IsPartner(x.address)
}

// maxCancels limits how many jobs are searched at the other entries at a time: each search has a
// call to each of them.
const maxCancels = 32

// cancel asks all other live entries to cancel a job. It returns ok = false if too many other
// searches are under way.
func (p *peers) cancel(ctx context.Context, queue, id string) (known, ok bool) {
	wait := time.NewTimer(exchangeTimeout)
	defer wait.Stop()
	select {
	case p.cancels <- struct{}{}:
		defer func() { <-p.cancels }()
	case <-wait.C:
		return false, false
	case <-ctx.Done():
		return false, false
	}
	var mu sync.Mutex
	p.callAll(ctx, p.others(), func(ctx context.Context, x *peer) {
		resp, err := x.client.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Queue: queue, Job: id}))
		if err != nil {
			p.d.opts.Logger.Warn("cancel_unanswered", "entry", x.address, "job", id, "err", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		known = known || resp.Msg.Known
	})
	return known, true
}
