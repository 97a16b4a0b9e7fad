package door

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Options of a Door. The zero value of a field stands for its default.
type Options struct {
	// Permit is how long one echo lets an entry serve; several exchanges long.
	// Default 30 s.
	Permit time.Duration
	// Skew bounds how far the clocks of callers and entries are apart. Default 2 s.
	Skew time.Duration
	// KeyTTL is how long after its first sending a key may start a job.
	// Default 15 minutes.
	KeyTTL time.Duration
}

// Defaults of Options.
const (
	DefaultPermit = 30 * time.Second
	DefaultSkew   = 2 * time.Second
	DefaultKeyTTL = 15 * time.Minute
)

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&o.Permit, DefaultPermit)
	set(&o.Skew, DefaultSkew)
	set(&o.KeyTTL, DefaultKeyTTL)
	return o
}

// Door is one entry's part.
type Door struct {
	opts    Options
	self    string
	members map[string]*member

	announcedUntil time.Time
	listed         bool      // since the announcement last began
	since          time.Time // from when on keys can be vouched for
}

// member is another entry process.
type member struct {
	stamp   time.Time // the last it sent, to be echoed
	letMe   time.Time // the latest own time that it has echoed
	letIt   time.Time // when its time was last echoed to it
	ended   time.Time // proven to start nothing from then on; zero: not
	heardOf time.Time
}

// New returns the door of the entry with the incarnation.
func New(self string, opts Options) *Door {
	return &Door{opts: opts.withDefaults(), self: self, members: make(map[string]*member)}
}

// Announced takes in that the announcement holds until the given time. It is
// counted from before the call that renewed it.
func (d *Door) Announced(now, until time.Time) {
	if !now.Before(d.announcedUntil) {
		// It may have lapsed, and others joined who don't know this entry.
		d.listed = false
	}
	d.announcedUntil = until
}

// Listed takes in the whole list of entries, read after the announcement.
func (d *Door) Listed(now time.Time, incarnations []string) {
	first := !d.listed
	for _, inc := range incarnations {
		m := d.member(now, inc)
		if m != nil && first {
			// It was there before, and must let this entry first.
			m.letMe = time.Time{}
		}
	}
	if first {
		d.listed = true
		d.since = now
	}
}

// Ended takes in that an entry process is proven to start nothing any more.
func (d *Door) Ended(now time.Time, incarnation string) {
	if m := d.members[incarnation]; m != nil && m.ended.IsZero() {
		m.ended = now
	}
}

// member returns an entry, which is a newcomer if it was not known: it has to be
// let by this one before it serves, so until then no let of its is needed.
func (d *Door) member(now time.Time, incarnation string) *member {
	if incarnation == d.self || incarnation == "" {
		return nil
	}
	m := d.members[incarnation]
	if m == nil {
		m = &member{letMe: now, heardOf: now}
		d.members[incarnation] = m
	}
	return m
}

// Echo is a time that an entry sent, on its way back to it.
type Echo struct {
	Entry string
	Stamp time.Time
}

// State is what to send to another entry: the time, and the echoes of all that
// were heard. Sending it lets those entries serve.
func (d *Door) State(now time.Time) (stamp time.Time, echoes []Echo) {
	for inc, m := range d.members {
		if m.stamp.IsZero() || !m.ended.IsZero() {
			continue
		}
		m.letIt = now
		echoes = append(echoes, Echo{Entry: inc, Stamp: m.stamp})
	}
	slices.SortFunc(echoes, func(a, b Echo) int { return cmpString(a.Entry, b.Entry) })
	return now, echoes
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Heard takes in another entry's State.
func (d *Door) Heard(now time.Time, from string, stamp time.Time, echoes []Echo) {
	m := d.member(now, from)
	if m == nil {
		return
	}
	if stamp.After(m.stamp) {
		m.stamp = stamp
	}
	for _, e := range echoes {
		if e.Entry != d.self || !e.Stamp.After(m.letMe) {
			continue
		}
		if !now.Before(m.letMe.Add(d.opts.Permit)) && m.ended.IsZero() {
			// Meanwhile it may have taken over keys of this entry.
			d.since = now
		}
		m.letMe = e.Stamp
	}
}

// left is when an entry has surely stopped to serve; zero: it may still.
func (d *Door) left(now time.Time, m *member) time.Time {
	if !m.ended.IsZero() {
		return m.ended
	}
	if m.letIt.IsZero() {
		// Never let by this entry, so it has not served since this one joined, unless
		// it was there before.
		return time.Time{}
	}
	if end := m.letIt.Add(d.opts.Permit); !now.Before(end) {
		return end
	}
	return time.Time{}
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
		if left := d.left(now, m); left.IsZero() || left.After(from) {
			names = append(names, inc)
		} else if now.Sub(left) > d.opts.KeyTTL+d.opts.Permit {
			delete(d.members, inc)
		}
	}
	slices.Sort(names)
	home := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	switch {
	case home != d.self && d.left(now, d.members[home]).IsZero():
		return Other, home
	case home != d.self || !d.serves(now) || from.Before(d.since):
		return Unsure, ""
	}
	return Mine, d.self
}

// serves reports whether every entry lets this one.
func (d *Door) serves(now time.Time) bool {
	if !d.listed || !now.Before(d.announcedUntil) {
		return false
	}
	for _, m := range d.members {
		if d.left(now, m).IsZero() && !now.Before(m.letMe.Add(d.opts.Permit)) {
			return false
		}
	}
	return true
}
