package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/gossip"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/platform/progress"
)

// The traffic of an entry must not grow with the number of entries. An entry therefore
// exchanges only with its partners (package gossip), once for each pair, whichever of the
// two starts it. Records of entries are sent only if the two views differ. The configuration
// is not sent: entries fetch it (package catchup). Only entries of an earlier version, which
// don't, are sent it if they lack it.
const (
	// exchangeInterval is the shortest time between two exchanges of a pair.
	exchangeInterval = 500 * time.Millisecond
	// maxExchangesPerSecond bounds the exchanges that an entry takes part in, as far as
	// maxExchangeInterval allows: each takes a few tenths of a millisecond.
	maxExchangesPerSecond = 12
	// maxExchangeInterval is below the time after which an entry counts as lost.
	maxExchangeInterval = gossip.LostAfter / 2
	// fallbackFactor multiplies the interval at the entry with the higher address, which
	// starts the exchange only if the other one has not.
	fallbackFactor = 1.5
	// exchangeTimeout is a few round trips of the slowest link to another entry. An
	// unresponsive connection is abandoned after it.
	exchangeTimeout = 400 * time.Millisecond
	// pushDelay is the time after which an entry announces a new configuration to those not
	// known to have it, plus jitter of up to the same time. Usually the store notifies
	// them sooner.
	pushDelay = 100 * time.Millisecond
)

// exchangePeriod returns the time between two exchanges with each of the given number of
// partners.
func exchangePeriod(partners int) time.Duration {
	wanted := time.Duration(float64(partners) / maxExchangesPerSecond * float64(time.Second))
	return min(max(wanted, exchangeInterval), maxExchangeInterval)
}

// untilExchange returns how long this entry still waits for the other one to start the
// next exchange. The last one was the time ago before now.
func untilExchange(period, ago time.Duration, own, other string) time.Duration {
	if own > other {
		period = time.Duration(fallbackFactor * float64(period))
	}
	return period - ago
}

// exchangeLoop exchanges with another entry while that is a partner, until it is
// forgotten.
func (p *peers) exchangeLoop(ctx context.Context, x *peer) {
	defer x.http.CloseIdleConnections()
	for ctx.Err() == nil && !p.forget(x) {
		period, wait, partner := p.nextExchange(x)
		if !partner {
			x.http.CloseIdleConnections()
			select {
			case <-x.wake:
			case <-ctx.Done():
			}
			continue
		}
		if wait <= 0 {
			p.exchange(ctx, x)
			wait = period
		}
		select {
		case <-time.After(wait):
		case <-x.wake:
			if p.needsUpdate(x) {
				p.exchange(ctx, x)
			}
		case <-ctx.Done():
		}
	}
}

// nextExchange returns the time between two exchanges with an entry, and the time until
// the next one. Partner is false if the entry isn't one.
func (p *peers) nextExchange(x *peer) (period, wait time.Duration, partner bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.view.IsPartner(x.address) {
		return 0, 0, false
	}
	period = exchangePeriod(p.view.PartnerCount())
	if x.lastReceived.IsZero() {
		return period, 0, true
	}
	return period, untilExchange(period, clock.Now().Sub(x.lastReceived), p.d.opts.Address, x.address), true
}

// needsUpdate reports whether another entry may lack the current state of this one.
func (p *peers) needsUpdate(x *peer) bool {
	own := p.revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	return own.newerThan(x) || p.leaving || x.lastReceived.IsZero() || p.needsTally(x)
}

// revisions are those of the operators' settings in force at this entry.
type revisions struct{ version, evacuations uint64 }

func (p *peers) revisions() revisions {
	return revisions{p.d.Configuration().GetVersion(), p.d.Evacuations().GetRevision()}
}

func (r revisions) newerThan(x *peer) bool {
	return x.version < r.version || x.evacuations < r.evacuations
}

// exchange performs one exchange, and a second one if the other entry's response shows
// that it lacks the configuration in force here and can't fetch it.
func (p *peers) exchange(ctx context.Context, x *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	theirs, ok := p.exchangeOnce(ctx, x, false)
	if ok && theirs < p.d.Configuration().GetVersion() && !p.fetches(x) {
		p.exchangeOnce(ctx, x, true)
	}
}

func (p *peers) fetches(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return x.fetches
}

// request returns the state that this entry sends to another one, with the configuration
// if withConfiguration is set.
func (p *peers) request(x *peer, withConfiguration bool) *pb.ShareRequest {
	c := p.d.Configuration()
	req := &pb.ShareRequest{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Address: p.d.opts.Address, Version: c.GetVersion(),
		Evacuations: p.d.Evacuations(), FetchesConfiguration: true,
	}
	if withConfiguration {
		req.Configuration = c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	req.Leaving, req.EntriesDigest = p.leaving, p.view.Digest()
	req.WaitingRecords, x.tally = p.waitingRecords(), p.tally.Changes()
	if x.digest != req.EntriesDigest {
		req.Records = p.records()
	}
	return req
}

// exchangeOnce returns the version of the configuration in force at the other entry.
func (p *peers) exchangeOnce(ctx context.Context, x *peer, withConfiguration bool) (theirs uint64, ok bool) {
	began := clock.Now()
	// Counts the bytes; the deadline of ctx ends the call first.
	ctx, call := progress.Start(ctx, progress.Limits{Response: exchangeTimeout, Stall: exchangeTimeout})
	defer call.End()
	resp, err := x.client.Share(ctx, connect.NewRequest(p.request(x, withConfiguration)))
	p.d.opts.OnExchange(Transfer{Sent: call.Sent(), Received: call.Received(), Err: err})
	p.mu.Lock()
	wasFailing := x.failing
	x.failing = err != nil
	p.mu.Unlock()
	if err != nil {
		if !wasFailing {
			p.d.opts.Logger.Warn("exchange_failed", "entry", x.address, "elapsed_ms", clock.Now().Sub(began).Milliseconds(),
				"transferred", call.String(), "err", err)
		}
		// The connection may be unresponsive: the next exchange opens a new one.
		x.http.CloseIdleConnections()
		return 0, false
	}
	m := resp.Msg
	// Precedes the configuration: an entry that admits jobs must have both.
	p.d.SetEvacuations(m.Evacuations)
	p.received(x, peerState{m.Incarnation, m.Version, m.FetchesConfiguration, m.EntriesDigest, m.Entries, m.Records, m.Evacuations.GetRevision()})
	p.mergeWaiting(m.WaitingRecords)
	if m.Configuration != nil {
		p.d.SetConfiguration(m.Configuration, x.address)
	}
	return m.Version, true
}

// peerState is the state that another entry sends in an exchange.
type peerState struct {
	incarnation string
	version     uint64
	fetches     bool
	digest      uint64
	entries     []string
	records     []*pb.EntryRecord
	evacuations uint64 // revision
}

func (p *peers) received(x *peer, s peerState) {
	p.updateView(func(now time.Time) {
		if !p.view.IsAlive(x.address) || x.incarnation != s.incarnation {
			p.d.opts.Logger.Info("entry_found", "entry", x.address, "incarnation", s.incarnation, "version", s.version)
		}
		x.incarnation, x.lastReceived, x.digest = s.incarnation, now, s.digest
		x.version, x.evacuations, x.fetches = s.version, s.evacuations, s.fetches
		p.versions.SetOther(now, x.address, s.version, s.fetches)
		p.startFetch()
		p.view.RecordContact(now, x.address)
		if len(s.records) == 0 {
			// An entry of an earlier version sends addresses only.
			p.view.AddCandidates(now, s.entries)
			for _, a := range s.entries {
				p.addPeer(a)
			}
		}
		p.view.Merge(now, recordsFromMessages(s.records))
	})
}

// records returns the records of the view as messages. The caller holds p.mu.
func (p *peers) records() []*pb.EntryRecord {
	var out []*pb.EntryRecord
	for _, r := range p.view.Records() {
		out = append(out, &pb.EntryRecord{Address: r.Address, Generation: r.Generation, Lost: r.Lost})
	}
	return out
}

func recordsFromMessages(records []*pb.EntryRecord) []gossip.Record {
	var out []gossip.Record
	for _, r := range records {
		out = append(out, gossip.Record{Address: r.Address, Generation: r.Generation, Lost: r.Lost})
	}
	return out
}

// serve handles an exchange that another entry has started.
func (p *peers) serve(req *pb.ShareRequest) *pb.ShareResponse {
	p.d.SetEvacuations(req.Evacuations)
	p.mergeWaiting(req.WaitingRecords)
	if req.Configuration != nil {
		p.d.SetConfiguration(req.Configuration, req.Address)
	}
	p.addCandidates([]string{req.Address})
	p.mu.Lock()
	x := p.all[req.Address]
	p.mu.Unlock()
	if x != nil {
		p.received(x, peerState{req.Incarnation, req.Version, req.FetchesConfiguration, req.EntriesDigest, req.Entries, req.Records, req.Evacuations.GetRevision()})
	}
	c := p.d.Configuration()
	resp := &pb.ShareResponse{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Version: c.GetVersion(),
		Evacuations: p.d.Evacuations(), FetchesConfiguration: true,
	}
	if req.Version < c.GetVersion() && !req.FetchesConfiguration {
		resp.Configuration = c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	resp.Leaving, resp.EntriesDigest = p.leaving, p.view.Digest()
	resp.WaitingRecords = p.waitingRecords()
	if x != nil {
		x.tally = p.tally.Changes()
	}
	if req.EntriesDigest != resp.EntriesDigest {
		resp.Records = p.records()
	}
	return resp
}

// push sends changed settings of operators and counts of waiting jobs to the partners not
// known to have them, after pushDelay. They forward them to their partners.
func (p *peers) push() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pushing {
		return
	}
	p.pushing = true
	time.AfterFunc(pushDelay+rand.N(pushDelay), func() {
		p.mu.Lock()
		p.pushing = false
		p.mu.Unlock()
		own := p.revisions()
		p.wakePartners(func(x *peer) bool { return own.newerThan(x) || p.needsTally(x) })
	})
}

// needsTally reports whether another entry has not been sent the current counts of waiting
// jobs. The caller holds p.mu.
func (p *peers) needsTally(x *peer) bool { return x.tally != p.tally.Changes() }

// wakePartners starts exchanges at once with the partners for which chosen returns true.
func (p *peers) wakePartners(chosen func(x *peer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		if p.view.IsPartner(x.address) && chosen(x) {
			x.signal()
		}
	}
}
