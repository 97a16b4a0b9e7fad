package member

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// Options of a Set. The zero value of a field stands for its default.
type Options struct {
	// Exchange is the time between exchanges with a member. One side of a pair
	// asks, and the answer counts for both.
	Exchange time.Duration
	// DeadAfter and DeadFailures bound when a member is dropped.
	DeadAfter    time.Duration
	DeadFailures int
	// GoneAfter is when an entry that is not heard may be taken to start nothing
	// any more; see Starters. It must exceed DeadAfter by what clocks and pauses
	// may differ.
	GoneAfter time.Duration
	// LeaseTTL is that of the announcements in the store.
	LeaseTTL time.Duration
	// RetryDead is the time between attempts at a candidate that doesn't answer.
	RetryDead time.Duration
	// Forget is when a candidate that doesn't answer is given up, unless the
	// store or a member names it still.
	Forget time.Duration
	// Damping is how long a member that was dropped has to be heard before it
	// counts again; it doubles with each time up to MaxDamping, and starts anew
	// after being a member for Steady.
	Damping, MaxDamping, Steady time.Duration
	// Join is the time between questions at the addresses to join through while
	// the store can't be reached.
	Join time.Duration
}

// Defaults of Options.
const (
	DefaultExchange     = 2 * time.Second
	DefaultDeadAfter    = 8 * time.Second
	DefaultDeadFailures = 3
	DefaultGoneAfter    = 16 * time.Second
	DefaultLeaseTTL     = 30 * time.Second
	DefaultRetryDead    = 5 * time.Second
	DefaultForget       = 10 * time.Minute
	DefaultDamping      = 2 * time.Second
	DefaultMaxDamping   = 30 * time.Second
	DefaultSteady       = time.Minute
	DefaultJoin         = 10 * time.Second
	// joinAlone is the time between questions while no member is known.
	joinAlone = time.Second
	// failureWait is the time between attempts at a member that does not answer.
	failureWait = time.Second
)

func (o Options) withDefaults() Options {
	o.Exchange = cmp.Or(o.Exchange, DefaultExchange)
	o.DeadAfter = cmp.Or(o.DeadAfter, DefaultDeadAfter)
	o.GoneAfter = cmp.Or(o.GoneAfter, DefaultGoneAfter)
	o.LeaseTTL = cmp.Or(o.LeaseTTL, DefaultLeaseTTL)
	o.RetryDead = cmp.Or(o.RetryDead, DefaultRetryDead)
	o.Forget = cmp.Or(o.Forget, DefaultForget)
	o.Damping = cmp.Or(o.Damping, DefaultDamping)
	o.MaxDamping = cmp.Or(o.MaxDamping, DefaultMaxDamping)
	o.Steady = cmp.Or(o.Steady, DefaultSteady)
	o.Join = cmp.Or(o.Join, DefaultJoin)
	o.DeadFailures = cmp.Or(o.DeadFailures, DefaultDeadFailures)
	return o
}

// Ask is an exchange that the driver has to make. It reports its end with Heard
// or Failed. Incarnation is empty for a question at an address to join through.
type Ask struct {
	Address     string
	Incarnation string
	// Covered is the configuration revision that the other has, as far as known.
	Covered uint64
}

// entry is what is known of one other entry process.
type entry struct {
	peer    *pb.Peer
	covered uint64

	asking   bool
	nextAsk  time.Time
	heard    time.Time // last proof of life; zero: none yet
	failures int
	since    time.Time // last named by the store or a member
	first    time.Time // first known
	gone     bool      // taken to start nothing any more; see Starters

	member   bool
	joinedAt time.Time // when it last became a member
	upSince  time.Time // heard without a gap since then
	flaps    int
	stored   bool // named in the store
}

// Set is the entries that this one knows.
type Set struct {
	options Options
	self    *pb.Peer
	random  func() float64

	entries map[string]*entry // by incarnation
	// ended are incarnations that are proven to have ended; naming them again
	// makes no candidate.
	ended      map[string]time.Time
	join       []string
	joinAt     time.Time
	joinNext   int
	storeReach bool
	reachedAt  time.Time // since when the store can be reached
	lostAt     time.Time // since when it can't be reached
	leaseUntil time.Time // until when this entry's own lease is certainly in force

	peers []*pb.Peer // members, rebuilt on change
}

// New returns a set without other entries. Join are the addresses to join
// through while the store can't be reached; random gives numbers in [0, 1).
func New(self *pb.Peer, join []string, random func() float64, o Options) *Set {
	return &Set{
		options: o.withDefaults(), self: self, random: random, join: join,
		entries: map[string]*entry{}, ended: map[string]time.Time{},
	}
}

// Members returns the other entries that live. The slice is replaced, never
// changed, and may be handed on.
func (s *Set) Members() []*pb.Peer { return s.peers }

// Find returns an entry process, member or not, that may be reached; nil when it
// is not known or proven to have ended. To ask a process that has gone costs one
// failed call, so damping and silence don't matter here.
func (s *Set) Find(incarnation string) *pb.Peer {
	if e := s.entries[incarnation]; e != nil {
		return e.peer
	}
	return nil
}

// Store tells whether the store can be reached.
func (s *Set) Store(now time.Time, reached bool) {
	if s.storeReach && !reached {
		s.lostAt = now
		s.joinAt = now.Add(s.spread(s.options.Join))
	}
	if reached && !s.storeReach {
		s.reachedAt = now
	}
	s.storeReach = reached
}

// Listed takes in all entries that the store names.
func (s *Set) Listed(now time.Time, peers []*pb.Peer) {
	named := map[string]bool{}
	for _, p := range peers {
		named[p.Incarnation] = true
		s.Announced(now, p)
	}
	for incarnation, e := range s.entries {
		if e.stored && !named[incarnation] {
			s.Withdrawn(now, incarnation)
		}
	}
}

// Announced takes in that the store names an entry.
func (s *Set) Announced(now time.Time, p *pb.Peer) {
	if e := s.candidate(now, p); e != nil {
		e.stored = true
	}
}

// Withdrawn takes in that the store no longer names an entry: its lease was
// revoked or has lapsed. The entry is asked at once.
func (s *Set) Withdrawn(now time.Time, incarnation string) {
	if e := s.entries[incarnation]; e != nil && e.stored {
		e.stored = false
		if e.member {
			e.nextAsk = now
		}
	}
}

// candidate notes an entry to talk to; nil for this one and those that have ended.
func (s *Set) candidate(now time.Time, p *pb.Peer) *entry {
	if p.GetIncarnation() == "" || p.Address == "" || p.Incarnation == s.self.Incarnation {
		return nil
	}
	if _, over := s.ended[p.Incarnation]; over {
		return nil
	}
	e := s.entries[p.Incarnation]
	if e == nil {
		e = &entry{peer: p, nextAsk: now, first: now}
		s.entries[p.Incarnation] = e
	}
	e.since = now
	return e
}

// Heard takes in what an entry said itself, asked or of its own accord. Asked is
// the incarnation that the question was meant for, empty for none.
func (s *Set) Heard(now time.Time, asked string, state *pb.PeerState) {
	said := state.GetSelf()
	if said.GetIncarnation() == "" {
		s.Failed(now, asked)
		return
	}
	if asked != "" && asked != said.Incarnation {
		// Another process has the address: the one meant has ended.
		s.end(now, asked)
	}
	for _, p := range state.Peers {
		s.candidate(now, p)
	}
	// A peer that answers under this process's name but another incarnation is no
	// concern here: incarnations are what tells processes apart.
	e := s.candidate(now, said)
	if e == nil {
		return
	}
	if said.Ended {
		s.end(now, said.Incarnation)
		return
	}
	if e.upSince.IsZero() || now.Sub(e.heard) >= s.options.DeadAfter {
		e.upSince = now
	}
	e.gone = false
	changed := !proto.Equal(e.peer, said)
	e.peer, e.covered, e.heard = said, state.ConfigRevision, now
	e.asking, e.failures = false, 0
	e.nextAsk = now.Add(s.interval(said))
	s.promote(now, e)
	if changed {
		s.rebuild()
	}
}

// interval is shorter on the side of a pair that asks as a rule. The other side
// asks when that one falls silent.
func (s *Set) interval(other *pb.Peer) time.Duration {
	if s.self.Incarnation < other.Incarnation {
		return s.options.Exchange
	}
	return s.options.Exchange*3/2 + s.spread(s.options.Exchange/2)
}

// spread keeps processes from asking in step.
func (s *Set) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random()*float64(d)/2)
}

// Failed takes in that an exchange found no answer.
func (s *Set) Failed(now time.Time, incarnation string) {
	e := s.entries[incarnation]
	if e == nil {
		return
	}
	e.asking = false
	e.failures++
	wait := failureWait
	if !e.member {
		wait = s.options.RetryDead
	}
	e.nextAsk = now.Add(s.spread(2 * wait))
}

// promote makes an entry a member once it has been heard for long enough.
func (s *Set) promote(now time.Time, e *entry) {
	if e.member {
		if now.Sub(e.joinedAt) >= s.options.Steady {
			e.flaps = 0
		}
		return
	}
	if now.Sub(e.upSince) < s.damping(e.flaps) {
		return
	}
	e.member, e.joinedAt = true, now
	s.rebuild()
}

func (s *Set) damping(flaps int) time.Duration {
	if flaps == 0 {
		return 0
	}
	d := s.options.Damping
	for i := 1; i < flaps && d < s.options.MaxDamping; i++ {
		d *= 2
	}
	return min(d, s.options.MaxDamping)
}

// end forgets a process that is proven to have ended.
func (s *Set) end(now time.Time, incarnation string) {
	s.ended[incarnation] = now
	if e := s.entries[incarnation]; e != nil {
		delete(s.entries, incarnation)
		s.rebuild()
	}
}

// Tick returns the exchanges that are due; call it no later than Next says.
func (s *Set) Tick(now time.Time) []Ask {
	var asks []Ask
	for incarnation, e := range s.entries {
		s.judge(now, e)
		if !e.member && e.gone && !e.stored && now.Sub(e.since) >= s.options.Forget {
			delete(s.entries, incarnation)
			continue
		}
		if !e.asking && !now.Before(e.nextAsk) {
			e.asking = true
			asks = append(asks, Ask{Address: e.peer.Address, Incarnation: incarnation, Covered: e.covered})
		}
	}
	for incarnation, at := range s.ended {
		if now.Sub(at) >= s.options.Forget {
			delete(s.ended, incarnation)
		}
	}
	slices.SortFunc(asks, func(a, b Ask) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return append(asks, s.joining(now)...)
}

// judge drops a member that has gone silent.
func (s *Set) judge(now time.Time, e *entry) {
	silent := now.Sub(e.heard) >= s.options.DeadAfter && e.failures >= s.options.DeadFailures
	gone := e.peer.Leaving && e.failures > 0
	if !e.member || (!silent && !gone) {
		return
	}
	e.member = false
	e.flaps++
	e.upSince = time.Time{}
	e.since = now
	s.rebuild()
}

// joining asks at the next address to join through. A process that starts while
// the store is down has no other way in; and two groups that started apart find
// each other when the balancer happens to answer with the other.
func (s *Set) joining(now time.Time) []Ask {
	if s.storeReach || len(s.join) == 0 || now.Before(s.joinAt) {
		return nil
	}
	wait := s.options.Join
	if len(s.peers) == 0 {
		wait = joinAlone
	}
	s.joinAt = now.Add(s.spread(2 * wait))
	s.joinNext++
	return []Ask{{Address: s.join[s.joinNext%len(s.join)]}}
}

// Next is when Tick is due; the zero time when nothing is.
func (s *Set) Next() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, e := range s.entries {
		if !e.asking {
			earlier(e.nextAsk)
		}
	}
	if !s.storeReach && len(s.join) > 0 {
		earlier(s.joinAt)
	}
	return next
}

func (s *Set) rebuild() {
	peers := make([]*pb.Peer, 0, len(s.entries))
	for _, e := range s.entries {
		if e.member {
			peers = append(peers, e.peer)
		}
	}
	slices.SortFunc(peers, func(a, b *pb.Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	s.peers = peers
}
