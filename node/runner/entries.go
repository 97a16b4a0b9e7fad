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
	// redialMin and redialMax bound the pause between attempts at an entry. Short at
	// first: runs are stopped when an entry stays silent.
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
	// redialEach is the pause, for each entry that is tried, while none is linked: no
	// work comes then, and an entry that is back must not wait. It bounds an agent's
	// attempts to a hundred a second.
	redialEach = 10 * time.Millisecond
	// forgetAfter is how long an address without an entry behind it is tried, when
	// the other entries don't name it as living.
	forgetAfter = 20 * time.Second
	// tryNextAfter is when an agent that has met no entry yet tries one more beside those that
	// it tries; one that fails is replaced at once. Each entry tells it of others, so one is
	// enough; a fleet that begins would otherwise link to each of a few seeds as a whole.
	tryNextAfter = time.Second
	// findAfter leaves the entries known the time to answer before others are looked for:
	// in a start of all machines each agent would read the list.
	findAfter = 500 * time.Millisecond
	// findEvery is how often entries are looked for elsewhere while none is linked.
	findEvery = 2 * time.Second
	// reviewEvery is how often the choice of entries is looked at besides its changes.
	reviewEvery = time.Second
	// settleFor is how long a link is kept that the choice has passed over. After a start
	// of all machines the entries become known one by one, and the choice changes with
	// each: links would be opened and closed again.
	settleFor = 2 * time.Second
	// guestFor is how long a link is kept that an entry has asked for: the bursts that
	// make entries ask last some seconds.
	guestFor = 10 * time.Second
	// maxTargets bounds the addresses that an agent remembers: those it is told of, some
	// times over. The ones named last are kept.
	maxTargets = 4 * subset.Told
)

// entries keeps links to some of the entries that are known; see package subset.
type entries struct {
	r *Runner

	mu    sync.Mutex
	known map[string]*target // by address
	epoch uint64
	begun time.Time
	met   bool // an entry has been linked once
}

// target is an address where an entry is, or was.
type target struct {
	address     string
	incarnation string // of the entry met there last
	named       time.Time
	linked      bool
	// down: the last attempt at a link failed.
	down bool
	// tried: a goroutine keeps or tries the link.
	tried bool
	// wanted is when the choice last held it.
	wanted time.Time
	// guestUntil is until when its entry, which has asked for the link, gets one beside
	// those chosen.
	guestUntil time.Time
	retiring   bool
}

func newEntries(r *Runner) *entries { return &entries{r: r, known: make(map[string]*target)} }

// run keeps the links until the runner is closed.
func (e *entries) run() {
	e.mu.Lock()
	e.begun = clock.Now()
	e.mu.Unlock()
	e.learn(e.r.opts.Entries)
	e.r.pause(findAfter)
	for e.r.ctx.Err() == nil {
		if e.r.opts.FindEntries != nil && !e.anyLinked() {
			e.find()
			e.r.pause(findEvery)
			continue
		}
		e.r.pause(reviewEvery)
		e.review()
	}
}

// longestPause bounds the pause between attempts at an entry.
func (e *entries) longestPause() time.Duration {
	if e.anyLinked() {
		return redialMax
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(redialMin, time.Duration(len(e.known))*redialEach)
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
	ctx, cancel := context.WithTimeout(e.r.ctx, findEvery)
	defer cancel()
	addresses, err := e.r.opts.FindEntries(ctx)
	if err != nil {
		e.r.opts.Logger.Warn("entries_not_found", "err", err)
		return
	}
	e.learn(subset.First(e.r.opts.Core.Agent, addresses, subset.Told))
}

// learn takes in addresses of living entries, and links to those that are chosen.
func (e *entries) learn(addresses []string) {
	e.mu.Lock()
	for _, address := range addresses {
		t := e.known[address]
		if t == nil {
			t = &target{address: address}
			e.known[address] = t
		}
		t.named = clock.Now()
	}
	e.trim()
	e.mu.Unlock()
	e.review()
}

// trim forgets the addresses named longest ago when there are too many. The lock is
// held.
func (e *entries) trim() {
	if len(e.known) <= maxTargets {
		return
	}
	var idle []*target
	for _, t := range e.known {
		if !t.tried && !slices.Contains(e.r.opts.Entries, t.address) {
			idle = append(idle, t)
		}
	}
	slices.SortFunc(idle, func(a, b *target) int { return a.named.Compare(b.named) })
	for _, t := range idle[:min(len(idle), len(e.known)-maxTargets)] {
		delete(e.known, t.address)
	}
}

// choose returns the targets to keep or try links with. The lock is held.
func (e *entries) choose() []*target {
	addresses := make([]string, 0, len(e.known))
	for address := range e.known {
		addresses = append(addresses, address)
	}
	ranked := subset.Rank(e.r.opts.Core.Agent, addresses)
	var out []*target
	for _, a := range subset.Choose(ranked, e.wantedLinks(), func(a string) bool { return e.known[a].down }) {
		out = append(out, e.known[a])
	}
	for _, a := range ranked[len(out):] {
		if t := e.known[a]; clock.Now().Before(t.guestUntil) {
			out = append(out, t)
		}
	}
	return out
}

// wantedLinks is how many entries to keep links with. The lock is held.
func (e *entries) wantedLinks() int {
	if e.met {
		return subset.Links
	}
	return min(1+int(clock.Now().Sub(e.begun)/tryNextAfter), subset.Links)
}

// invited takes in that entries ask for a link.
func (e *entries) invited(addresses []string) {
	e.mu.Lock()
	until := clock.Now().Add(guestFor)
	for _, address := range addresses {
		t := e.known[address]
		if t == nil {
			t = &target{address: address, named: clock.Now()}
			e.known[address] = t
		}
		t.guestUntil = until
	}
	e.mu.Unlock()
	e.review()
}

// review begins links to entries that are chosen, and closes those to others once
// enough of the chosen are linked.
func (e *entries) review() {
	e.mu.Lock()
	now := clock.Now()
	var retire, keep []string
	linked := 0
	for _, t := range e.choose() {
		t.wanted = now
		if t.linked {
			linked++
		}
		if t.retiring {
			t.retiring = false
			keep = append(keep, t.incarnation)
		}
		if !t.tried {
			t.tried = true
			go e.keep(t)
		}
	}
	for _, t := range e.known {
		if t.linked && !t.retiring && linked >= subset.Links && now.Sub(t.wanted) >= settleFor {
			t.retiring = true
			retire = append(retire, t.incarnation)
		}
	}
	e.mu.Unlock()
	e.r.decide(func(now time.Time) {
		for _, incarnation := range keep {
			e.r.core.Keep(now, incarnation)
		}
		for _, incarnation := range retire {
			e.r.core.Retire(now, incarnation)
		}
	})
}

// keep links to one entry again and again while it is chosen, until its address is
// forgotten.
func (e *entries) keep(t *target) {
	pause := redialMin
	for e.r.ctx.Err() == nil {
		began := clock.Now()
		if e.attach(t) {
			pause = redialMin
		} else if e.failed(t) {
			return
		}
		if e.left(t) {
			return
		}
		if clock.Now().Sub(began) < redialMax {
			e.r.pause(min(pause, e.longestPause()))
			pause = min(2*pause, redialMax)
		}
	}
}

// failed takes in that no link could be opened, and reports whether the address is
// forgotten.
func (e *entries) failed(t *target) (forgotten bool) {
	e.mu.Lock()
	first := !t.down
	t.down = true
	if clock.Now().Sub(t.named) >= forgetAfter && !slices.Contains(e.r.opts.Entries, t.address) {
		delete(e.known, t.address)
		forgotten = true
	}
	e.mu.Unlock()
	if first || forgotten {
		e.review() // others stand in for it
	}
	return forgotten
}

// left reports whether an entry without a link isn't chosen any more, and ends the
// attempts at it then.
func (e *entries) left(t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.choose(), t) {
		return false
	}
	t.tried, t.retiring = false, false
	return true
}

func (e *entries) set(t *target, incarnation string, linked bool) {
	e.mu.Lock()
	t.linked = linked
	t.named = clock.Now()
	if linked {
		t.incarnation, t.down, e.met = incarnation, false, true
	}
	e.mu.Unlock()
	if linked {
		e.review() // those that stood in for it may go
	}
}
