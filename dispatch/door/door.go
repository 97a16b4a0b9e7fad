package door

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Options of a Door. The zero value of a field stands for its default.
type Options struct {
	// Skew bounds how far the clocks of callers and entries are apart. Default 2 s.
	Skew time.Duration
	// KeyTTL is how long after its first sending a key may start a job.
	// Default 15 minutes.
	KeyTTL time.Duration
}

// Defaults of Options.
const (
	DefaultSkew   = 2 * time.Second
	DefaultKeyTTL = 15 * time.Minute
)

// WithDefaults returns the options with zero fields set.
func (o Options) WithDefaults() Options {
	o.Skew = cmp.Or(o.Skew, DefaultSkew)
	o.KeyTTL = cmp.Or(o.KeyTTL, DefaultKeyTTL)
	return o
}

// Door is one entry's part.
type Door struct {
	opts    Options
	self    string
	members map[string]*member

	announcedUntil time.Time
	listedAt       time.Time // first list of the announcement; zero: none yet
	since          time.Time // from when on keys can be vouched for; zero: not yet
}

// member is another entry process.
type member struct {
	stamp time.Time // the last time that it sent, to be echoed
	heard time.Time // when it was heard last
	// asked: it must let this entry; letMe is the latest own time it has echoed.
	asked bool
	letMe time.Time
	// left is when its announcement was gone; zero: it may serve.
	left time.Time
}

// New returns the door of the entry with the incarnation.
func New(self string, opts Options) *Door {
	return &Door{opts: opts.WithDefaults(), self: self, members: make(map[string]*member)}
}

// Announced takes in that the announcement holds until the given time, counted
// from before the call that renewed it. True asks for the list.
func (d *Door) Announced(now, until time.Time) (list bool) {
	if !now.Before(d.announcedUntil) {
		// It may have lapsed, and the others have counted this entry out.
		d.listedAt, d.since = time.Time{}, time.Time{}
	}
	d.announcedUntil = until
	return d.listedAt.IsZero()
}

// Listed takes in the whole list of announced entries; readAt is from before the
// call that read it, and after Announced. Call it also when an announcement is
// said to be gone.
func (d *Door) Listed(now, readAt time.Time, incarnations []string) {
	for inc, m := range d.members {
		// One heard since may have announced itself after the list was read.
		if m.left.IsZero() && m.heard.Before(readAt) && !slices.Contains(incarnations, inc) {
			m.left = now
		}
	}
	first := d.listedAt.IsZero()
	if first {
		d.listedAt = now
	}
	for _, inc := range incarnations {
		if m := d.member(inc); m != nil && first {
			m.asked = true
		}
	}
	d.settle(now)
}

// member returns an entry and counts it in.
func (d *Door) member(incarnation string) *member {
	if incarnation == d.self || incarnation == "" {
		return nil
	}
	m := d.members[incarnation]
	if m == nil {
		m = &member{}
		d.members[incarnation] = m
	}
	m.left = time.Time{}
	return m
}

// Echo is a time that an entry sent, on its way back to it.
type Echo struct {
	Entry string
	Stamp time.Time
}

// State is what to send to the other entries: the time, and the echoes of those
// that are counted in.
func (d *Door) State(now time.Time) (stamp time.Time, echoes []Echo) {
	for inc, m := range d.members {
		if m.left.IsZero() && !m.stamp.IsZero() {
			echoes = append(echoes, Echo{Entry: inc, Stamp: m.stamp})
		}
	}
	slices.SortFunc(echoes, func(a, b Echo) int { return cmp.Compare(a.Entry, b.Entry) })
	return now, echoes
}

// Heard takes in another entry's State.
func (d *Door) Heard(now time.Time, from string, stamp time.Time, echoes []Echo) {
	m := d.member(from)
	if m == nil {
		return
	}
	m.heard = now
	if stamp.After(m.stamp) {
		m.stamp = stamp
	}
	for _, e := range echoes {
		if e.Entry == d.self && e.Stamp.After(m.letMe) {
			m.letMe = e.Stamp
		}
	}
	d.settle(now)
}

// settle begins to vouch once every entry that was there before lets this one.
func (d *Door) settle(now time.Time) {
	if !d.since.IsZero() || d.listedAt.IsZero() {
		return
	}
	for _, m := range d.members {
		if m.asked && m.left.IsZero() && !m.letMe.After(d.listedAt) {
			return
		}
	}
	d.since = now
}

// Verdict says who is home to a key.
type Verdict uint8

// Verdicts.
const (
	// Unsure: nobody is known who can vouch for the key. Its outcome is unknown.
	Unsure Verdict = iota
	// Mine: this entry may start the key.
	Mine
	// Other: the entry named is the key's home.
	Other
)

// Home returns who is home to a key, first sent at a time of the caller's clock.
func (d *Door) Home(now time.Time, key string, firstSent time.Time) (Verdict, string) {
	if firstSent.After(now.Add(d.opts.Skew)) || firstSent.Before(now.Add(-d.opts.KeyTTL)) {
		return Unsure, ""
	}
	from := firstSent.Add(-d.opts.Skew)
	names := []string{d.self}
	for inc, m := range d.members {
		switch {
		case m.left.IsZero() || m.left.After(from):
			names = append(names, inc)
		case now.Sub(m.left) > d.opts.KeyTTL+d.opts.Skew:
			delete(d.members, inc)
		}
	}
	slices.Sort(names)
	home := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	switch {
	case home != d.self && d.members[home].left.IsZero():
		return Other, home
	case home != d.self || d.since.IsZero() || from.Before(d.since) || !now.Before(d.announcedUntil):
		return Unsure, ""
	}
	return Mine, d.self
}
