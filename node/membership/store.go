package membership

import (
	"context"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/dispatch/member"
	"github.com/papayahoist/papayahoist/platform/retry"
	"github.com/papayahoist/papayahoist/platform/store"
	"google.golang.org/protobuf/encoding/protojson"
)

// Prefix is that of all keys of this system in the store; one watch covers it.
const Prefix = "papayahoist/"

// EntriesPrefix is where entries announce themselves, by incarnation.
const EntriesPrefix = Prefix + "entries/"

// reader takes in what the store holds, as a follow.Reader.
type reader Membership

// Snapshot implements follow.Reader.
func (r *reader) Snapshot(items []store.Item, at store.Revision) {
	m := (*Membership)(r)
	var contracts []*pb.Contract
	var peers []*pb.Peer
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, contract.Prefix):
			contracts = m.appendContract(contracts, item)
		case strings.HasPrefix(item.Key, EntriesPrefix):
			peers = m.appendPeer(peers, item)
		}
	}
	m.opts.Config.Apply(contracts, 0, uint64(at))
	m.followed = at
	m.update(func(now time.Time, s *member.Set) {
		s.Listed(now, peers)
		for _, p := range peers {
			m.seeSelf(p)
		}
	})
	m.storeReached(true, nil)
}

// Changes implements follow.Reader. That a contract's key was removed changes
// nothing: a contract ends by a tombstone alone.
func (r *reader) Changes(events []store.Event) {
	m := (*Membership)(r)
	var contracts []*pb.Contract
	upTo := m.followed
	for _, e := range events {
		upTo = e.Item.Revision
		switch {
		case strings.HasPrefix(e.Item.Key, contract.Prefix) && !e.Deleted:
			contracts = m.appendContract(contracts, e.Item)
		case strings.HasPrefix(e.Item.Key, EntriesPrefix):
			m.entryChanged(e)
		}
	}
	m.opts.Config.Apply(contracts, uint64(m.followed), uint64(upTo))
	m.followed = upTo
	m.storeReached(true, nil)
}

// Lost implements follow.Reader.
func (r *reader) Lost(err error) { (*Membership)(r).storeReached(false, err) }

// Reached implements follow.Reader.
func (r *reader) Reached() { (*Membership)(r).storeReached(true, nil) }

// appendContract leaves out what can't be read: the revision in force stays.
func (m *Membership) appendContract(to []*pb.Contract, item store.Item) []*pb.Contract {
	record, err := contract.Decode(item.Key, item.Value, uint64(item.Revision))
	if err != nil {
		m.log.Error("contract ignored", "revision", item.Revision, "err", err)
		return to
	}
	return append(to, record.Contract)
}

func (m *Membership) appendPeer(to []*pb.Peer, item store.Item) []*pb.Peer {
	var p pb.Peer
	if err := protojson.Unmarshal(item.Value, &p); err != nil {
		m.log.Error("announcement ignored", "key", item.Key, "err", err)
		return to
	}
	return append(to, &p)
}

func (m *Membership) entryChanged(e store.Event) {
	if e.Deleted {
		incarnation := strings.TrimPrefix(e.Item.Key, EntriesPrefix)
		m.update(func(now time.Time, s *member.Set) { s.Withdrawn(now, incarnation) })
		m.relist()
		return
	}
	for _, p := range m.appendPeer(nil, e.Item) {
		m.update(func(now time.Time, s *member.Set) {
			s.Announced(now, p)
			m.seeSelf(p)
		})
	}
}

// seeSelf notes that the store showed this entry's own announcement: it has then
// shown all that were announced before. Of two entries that start together at
// least one so knows of the other.
func (m *Membership) seeSelf(p *pb.Peer) {
	if p.Incarnation == m.opts.Self.Incarnation {
		m.settled = true
	}
}

// relist has the list read again by announce; one reading serves all that is
// asked meanwhile.
func (m *Membership) relist() {
	select {
	case m.again <- struct{}{}:
	default:
	}
}

// Waits between attempts to announce. The upper one spreads the return of all
// entries after an outage.
const (
	minAnnounceWait = 500 * time.Millisecond
	maxAnnounceWait = 20 * time.Second
)

// announce keeps this entry's announcement in the store until the context ends
// or the entry leaves.
func (m *Membership) announce(ctx context.Context) {
	a := announcement{m: m, key: EntriesPrefix + m.opts.Self.Incarnation}
	failed := 0
	for {
		wait := m.opts.LeaseTTL / 2
		wait = wait*9/10 + time.Duration(m.opts.Random()*float64(wait)/10)
		if err := a.renew(ctx); err != nil {
			failed++
			wait = retry.Backoff(minAnnounceWait, maxAnnounceWait, failed, m.opts.Random())
		} else {
			failed = 0
			m.announced(ctx, a.since)
		}
		if !m.untilRenewal(ctx, wait) {
			break
		}
	}
	if ctx.Err() == nil {
		a.withdraw(ctx)
	}
}

// untilRenewal waits, and reads the list where that is asked for. False: the
// announcement ends.
func (m *Membership) untilRenewal(ctx context.Context, wait time.Duration) bool {
	due := time.After(wait)
	for {
		select {
		case <-due:
			return true
		case <-m.again:
			m.list(ctx)
		case <-m.leave:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// announced passes on that the announcement was renewed by a call that began
// then. The margin is for clocks that run at different rates.
func (m *Membership) announced(ctx context.Context, began time.Time) {
	m.update(func(_ time.Time, s *member.Set) { s.Lease(began) })
	if m.opts.Announced != nil && m.opts.Announced(began.Add(m.opts.LeaseTTL*9/10)) {
		m.list(ctx)
	}
}

// list reads which entries the store names and passes that on.
func (m *Membership) list(ctx context.Context) {
	if m.opts.Listed == nil {
		return
	}
	readAt := time.Now()
	items, _, err := m.opts.Store.List(ctx, EntriesPrefix)
	if err != nil {
		m.log.Debug("entries not listed", "err", err)
		return
	}
	incarnations := make([]string, 0, len(items))
	for _, item := range items {
		incarnations = append(incarnations, strings.TrimPrefix(item.Key, EntriesPrefix))
	}
	m.opts.Listed(readAt, incarnations)
}

// announcement is this entry's key in the store.
type announcement struct {
	m       *Membership
	key     string
	lease   store.LeaseID
	written bool
	// since is when the call began that granted or renewed the lease last: from
	// then on it lasts for its whole time at least.
	since time.Time
}

// renew renews the lease, or announces anew where it has lapsed.
func (a *announcement) renew(ctx context.Context) error {
	if a.written {
		err := a.keepAlive(ctx)
		if !store.IsLeaseGone(err) {
			return err
		}
		a.lease, a.written = 0, false
	}
	if a.lease == 0 {
		began := time.Now()
		lease, err := a.m.opts.Store.Grant(ctx, a.m.opts.LeaseTTL)
		if err != nil {
			return err
		}
		a.lease, a.since = lease, began
	}
	return a.write(ctx)
}

func (a *announcement) keepAlive(ctx context.Context) error {
	began := time.Now()
	err := a.m.opts.Store.KeepAlive(ctx, a.lease)
	if err == nil {
		a.since = began
	}
	return err
}

func (a *announcement) write(ctx context.Context) error {
	value, err := protojson.Marshal(a.m.self.Load())
	if err != nil {
		return err
	}
	_, err = a.m.opts.Store.CompareAndSwap(ctx, a.key, 0, value, a.lease)
	switch {
	case err == nil:
		a.written = true
	case store.IsConflict(err):
		return a.adopt(ctx)
	case store.IsLeaseGone(err):
		a.lease = 0
	}
	return err
}

// adopt takes over the key that a write of this process has left whose answer
// was lost: nobody else writes a key named by this incarnation.
func (a *announcement) adopt(ctx context.Context) error {
	item, err := a.m.opts.Store.Get(ctx, a.key)
	if err != nil {
		return err
	}
	a.lease, a.written = item.Lease, true
	return a.keepAlive(ctx)
}

// withdraw ends the announcement; if that fails the lease lapses by itself.
func (a *announcement) withdraw(ctx context.Context) {
	if a.lease != 0 {
		_ = a.m.opts.Store.Revoke(ctx, a.lease)
	}
}
