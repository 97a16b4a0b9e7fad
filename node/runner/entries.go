package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/subset"
	"github.com/papayahoist/papayahoist/node/clock"
)

const (
	// minRedialPause and maxRedialPause bound the pause between attempts to link to an
	// entry. The first pauses are short because runs are stopped when their entry stays
	// unresponsive.
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = time.Second
	// redialPausePerEntry, times the number of known entries, is the pause while no entry
	// is linked: no work arrives then, and an entry that is back must not wait. It limits
	// an agent to a hundred attempts per second.
	redialPausePerEntry = 10 * time.Millisecond
	// forgetAfter is how long an address without a responding entry is tried when the
	// other entries don't list it as alive.
	forgetAfter = 20 * time.Second
	// tryNextAfter is the time after which an agent that hasn't linked to any entry yet
	// tries one more in parallel; one that fails is replaced at once. Each entry sends the
	// addresses of others, so one is enough. Otherwise all agents of a starting fleet
	// would link to each of a few seeds.
	tryNextAfter = time.Second
	// findDelay gives the known entries time to respond before others are looked up.
	// Otherwise each agent would read the list when all machines start.
	findDelay = 500 * time.Millisecond
	// findInterval is the time between two lookups of entries while none is linked.
	findInterval = 2 * time.Second
	// reconcileInterval is the time between two reconciliations of the links in addition
	// to those after a change.
	reconcileInterval = time.Second
	// unchosenGrace is how long a link to an entry is kept that is no longer chosen. When
	// all machines start, the entries become known one by one and the choice changes with
	// each: links would be opened and closed again.
	unchosenGrace = 2 * time.Second
	// invitationTime is how long a link is kept that an entry has asked for. Bursts that
	// make entries ask for links last some seconds.
	invitationTime = 10 * time.Second
	// aliasRetryInterval is how often a further address of a linked entry is tried: another process
	// may answer there by then.
	aliasRetryInterval = time.Minute
	// maxTargets bounds the addresses that an agent remembers, to a multiple of those
	// advertised to it. The ones listed most recently are kept.
	maxTargets = 4 * subset.Advertised
)

// entries maintains links to a subset of the known entries; see package subset.
type entries struct {
	r *Runner

	mu         sync.Mutex
	known      map[string]*target // by address
	epoch      uint64
	startedAt  time.Time
	linkedOnce bool // an entry has been linked at least once
}

// target is the address of an entry, present or past.
type target struct {
	address     string
	incarnation string    // of the entry at the last handshake; empty if its process has ended
	answeredAt  time.Time // when that link was opened
	lastListed  time.Time
	linked      bool
	// down reports that the last attempt to open a link failed.
	down bool
	// active reports that a goroutine maintains the link or tries to open it.
	active bool
	// lastChosen is when the target was last among the chosen ones.
	lastChosen time.Time
	// invitedUntil is until when the entry, which has asked for a link, gets one in
	// addition to the chosen ones.
	invitedUntil time.Time
	retiring     bool
}

func newEntries(r *Runner) *entries { return &entries{r: r, known: make(map[string]*target)} }

// run maintains the links until the runner is closed.
func (e *entries) run() {
	e.mu.Lock()
	e.startedAt = clock.Now()
	e.mu.Unlock()
	e.addAddresses(e.r.opts.Entries)
	e.r.pause(findDelay)
	for e.r.ctx.Err() == nil {
		if e.r.opts.FindEntries != nil && !e.anyLinked() {
			e.find()
			e.r.pause(findInterval)
			continue
		}
		e.r.pause(reconcileInterval)
		e.reconcile()
	}
}

// maxPause returns the longest pause between attempts to link to an entry.
func (e *entries) maxPause() time.Duration {
	if e.anyLinked() {
		return maxRedialPause
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(minRedialPause, time.Duration(len(e.known))*redialPausePerEntry)
}

func (e *entries) anyLinked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.known {
		if t.linked {
			return true
		}
	}
	return false
}

func (e *entries) find() {
	ctx, cancel := context.WithTimeout(e.r.ctx, findInterval)
	defer cancel()
	addresses, err := e.r.opts.FindEntries(ctx)
	if err != nil {
		e.r.opts.Logger.Warn("entries_not_found", "err", err)
		return
	}
	e.addAddresses(subset.First(e.r.opts.Core.Agent, addresses, subset.Advertised))
}

// addAddresses adds addresses of live entries, and opens links to those that are chosen.
func (e *entries) addAddresses(addresses []string) {
	e.mu.Lock()
	for _, address := range addresses {
		t := e.known[address]
		if t == nil {
			t = &target{address: address}
			e.known[address] = t
		}
		t.lastListed = clock.Now()
	}
	e.trim()
	e.mu.Unlock()
	e.reconcile()
}

// trim removes the inactive addresses listed least recently if there are more than
// maxTargets. Configured addresses stay. The caller holds e.mu.
func (e *entries) trim() {
	if len(e.known) <= maxTargets {
		return
	}
	var idle []*target
	for _, t := range e.known {
		if !t.active && !slices.Contains(e.r.opts.Entries, t.address) {
			idle = append(idle, t)
		}
	}
	slices.SortFunc(idle, func(a, b *target) int { return a.lastListed.Compare(b.lastListed) })
	for _, t := range idle[:min(len(idle), len(e.known)-maxTargets)] {
		delete(e.known, t.address)
	}
}

// isAlias reports whether the target is a further address of an entry that is linked. A second link
// would take the place of the first one at the entry. The caller holds e.mu.
func (e *entries) isAlias(t *target) bool {
	if t.incarnation == "" || t.linked || clock.Now().Sub(t.answeredAt) >= aliasRetryInterval {
		return false
	}
	for _, other := range e.known {
		if other.linked && other.incarnation == t.incarnation {
			return true
		}
	}
	return false
}

// choose returns the targets to maintain links to. The caller holds e.mu.
func (e *entries) choose() []*target {
	addresses := make([]string, 0, len(e.known))
	for address, t := range e.known {
		if !e.isAlias(t) {
			addresses = append(addresses, address)
		}
	}
	ranked := subset.Rank(e.r.opts.Core.Agent, addresses)
	var out []*target
	for _, a := range subset.Choose(ranked, e.linkCount(), func(a string) bool { return e.known[a].down }) {
		out = append(out, e.known[a])
	}
	for _, a := range ranked[len(out):] {
		if t := e.known[a]; clock.Now().Before(t.invitedUntil) {
			out = append(out, t)
		}
	}
	return out
}

// linkCount returns the number of entries to maintain links to. The caller holds e.mu.
func (e *entries) linkCount() int {
	if e.linkedOnce {
		return subset.LinksPerAgent
	}
	return min(1+int(clock.Now().Sub(e.startedAt)/tryNextAfter), subset.LinksPerAgent)
}

// handleInvitations opens links to the entries that ask for one.
func (e *entries) handleInvitations(addresses []string) {
	e.mu.Lock()
	until := clock.Now().Add(invitationTime)
	for _, address := range addresses {
		t := e.known[address]
		if t == nil {
			t = &target{address: address, lastListed: clock.Now()}
			e.known[address] = t
		}
		t.invitedUntil = until
	}
	e.mu.Unlock()
	e.reconcile()
}

// reconcile opens links to the chosen entries, and retires those to others once enough of
// the chosen entries are linked.
func (e *entries) reconcile() {
	e.mu.Lock()
	now := clock.Now()
	var retire, keep []string
	linked := 0
	for _, t := range e.choose() {
		t.lastChosen = now
		if t.linked {
			linked++
		}
		if t.retiring {
			t.retiring = false
			keep = append(keep, t.incarnation)
		}
		if !t.active {
			t.active = true
			go e.maintain(t)
		}
	}
	for _, t := range e.known {
		if t.linked && !t.retiring && linked >= subset.LinksPerAgent && now.Sub(t.lastChosen) >= unchosenGrace {
			t.retiring = true
			retire = append(retire, t.incarnation)
		}
	}
	e.mu.Unlock()
	e.r.decide(func(now time.Time) {
		for _, incarnation := range keep {
			e.r.core.KeepLink(now, incarnation)
		}
		for _, incarnation := range retire {
			e.r.core.RetireLink(now, incarnation)
		}
	})
}

// maintain keeps a link to one entry open, and reopens it when it ends, until the entry is
// no longer chosen or its address is forgotten.
func (e *entries) maintain(t *target) {
	pause := minRedialPause
	for e.r.ctx.Err() == nil {
		began := clock.Now()
		if e.attach(t) {
			pause = minRedialPause
		} else if e.linkFailed(t) {
			return
		}
		if clock.Now().Sub(began) < maxRedialPause {
			e.r.pause(min(pause, e.maxPause()))
			pause = min(2*pause, maxRedialPause)
		}
		if e.deactivate(t) {
			return
		}
	}
}

// linkFailed records that no link could be opened, and reports whether the address is
// forgotten.
func (e *entries) linkFailed(t *target) (forgotten bool) {
	e.mu.Lock()
	first := !t.down
	t.down = true
	if clock.Now().Sub(t.lastListed) >= forgetAfter && !slices.Contains(e.r.opts.Entries, t.address) {
		delete(e.known, t.address)
		forgotten = true
	}
	e.mu.Unlock()
	if first || forgotten {
		e.reconcile() // links to others replace it
	}
	return forgotten
}

// deactivate reports whether an entry without a link is no longer chosen, and marks it
// inactive then.
func (e *entries) deactivate(t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.choose(), t) {
		return false
	}
	t.active, t.retiring = false, false
	return true
}

func (e *entries) setLinked(t *target, incarnation string, linked bool) {
	e.mu.Lock()
	t.linked = linked
	t.lastListed = clock.Now()
	if linked {
		t.incarnation, t.answeredAt, t.down, e.linkedOnce = incarnation, clock.Now(), false, true
	}
	e.mu.Unlock()
	if linked {
		e.reconcile() // links that replaced it may be retired
	}
}
