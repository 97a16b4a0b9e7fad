package membership

import (
	"cmp"
	"context"
	"sync"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/member"
)

// maxContracts bounds the contracts in one message. Who lacks more asks again.
const maxContracts = 200

// state is what this entry tells another that is covered up to a revision. To is
// the other's incarnation, empty when it is not known.
func (m *Membership) state(to string, covered uint64) *pb.PeerState {
	contracts, upTo := m.opts.Config.Snapshot().Since(covered, maxContracts)
	state := &pb.PeerState{Self: m.self.Load(), Peers: m.Peers(), Contracts: contracts, ConfigSince: covered, ConfigRevision: upTo}
	if m.opts.Extend != nil {
		m.opts.Extend(to, state)
	}
	return state
}

// Serve answers an exchange that another entry began.
func (m *Membership) Serve(state *pb.PeerState) *pb.PeerState {
	m.take("", state)
	return m.state(state.GetSelf().GetIncarnation(), state.ConfigRevision)
}

// take takes in another entry's state; asked as for member.Set.Heard.
func (m *Membership) take(asked string, state *pb.PeerState) {
	m.opts.Config.Apply(state.Contracts, state.ConfigSince, state.ConfigRevision)
	m.update(func(now time.Time, s *member.Set) {
		s.Heard(now, asked, state)
		// Without the store, one entry that is in names the others.
		m.settled = m.settled || (!m.reached && len(s.Members()) > 0)
	})
	if m.opts.Received != nil {
		m.opts.Received(state)
	}
}

// exchange makes the exchanges that are due until the context ends.
func (m *Membership) exchange(ctx context.Context, wg *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
		case <-m.hurry:
			m.askAll(ctx, wg)
		}
		for _, a := range m.due(timer) {
			wg.Go(func() { m.ask(ctx, a) })
		}
		m.tellStarters()
	}
}

// ExchangeNow begins an exchange with every member, besides the regular ones. It
// does not block.
func (m *Membership) ExchangeNow() {
	select {
	case m.hurry <- struct{}{}:
	default:
	}
}

func (m *Membership) askAll(ctx context.Context, wg *sync.WaitGroup) {
	for _, p := range m.Peers()[1:] {
		wg.Go(func() { m.ask(ctx, member.Ask{Address: p.Address, Incarnation: p.Incarnation}) })
	}
}

func (m *Membership) tellStarters() {
	if m.opts.OnStarters == nil {
		return
	}
	m.mu.Lock()
	now := time.Now()
	starters := m.set.Starters(now)
	fenced := !m.settled || m.set.Fenced(now)
	m.mu.Unlock()
	m.opts.OnStarters(starters, fenced)
}

// due returns the exchanges to make and sets the timer for the next.
func (m *Membership) due(timer *time.Timer) []member.Ask {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	asks := m.set.Tick(now)
	m.publish()
	if next := m.set.Next(); !next.IsZero() {
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
	return asks
}

// ask makes one exchange, and more while the other has more contracts to send.
func (m *Membership) ask(ctx context.Context, a member.Ask) {
	for {
		before := m.opts.Config.Snapshot().Covered()
		state, err := m.askOnce(ctx, a)
		if err != nil {
			m.update(func(now time.Time, s *member.Set) { s.Failed(now, a.Incarnation) })
			return
		}
		m.take(a.Incarnation, state)
		if len(state.Contracts) < maxContracts || m.opts.Config.Snapshot().Covered() <= before {
			return
		}
		a.Covered = state.ConfigRevision
	}
}

// question is the state to ask with. Who has never answered may be ahead, or be
// this process itself behind the balancer: it gets no contracts unasked. Its
// answer tells what it lacks.
func (m *Membership) question(a member.Ask) *pb.PeerState {
	covered := a.Covered
	covered = cmp.Or(covered, m.opts.Config.Snapshot().Covered())
	return m.state(a.Incarnation, covered)
}

func (m *Membership) askOnce(ctx context.Context, a member.Ask) (*pb.PeerState, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.ExchangeTimeout)
	defer cancel()
	return m.opts.Exchanger.Exchange(ctx, a.Address, m.question(a))
}
