package keyhome

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Options configure a Resolver. Zero fields take their defaults.
type Options struct {
	// Skew bounds the difference between the clocks of callers and entries. Default 2 s.
	Skew time.Duration
	// KeyTTL is how long after it was first sent a key may start a job.
	// Default 15 minutes.
	KeyTTL time.Duration
}

// Defaults of Options.
const (
	DefaultSkew   = 2 * time.Second
	DefaultKeyTTL = 15 * time.Minute
)

// WithDefaults returns a copy of the options with zero fields set to their defaults.
func (o Options) WithDefaults() Options {
	o.Skew = cmp.Or(o.Skew, DefaultSkew)
	o.KeyTTL = cmp.Or(o.KeyTTL, DefaultKeyTTL)
	return o
}

// Resolver resolves the homes of keys for one entry.
type Resolver struct {
	opts    Options
	self    string
	members map[string]*member

	announced      bool      // the announcement is valid
	announcedUntil time.Time // by a clock that counts suspension
	listedAt       time.Time // when the first list since the announcement was received; zero if none
	ownsSince      time.Time // keys first sent after this time may be owned; zero if none yet
}

// member is another entry process.
type member struct {
	lastStamp    time.Time // its last timestamp, to be echoed
	lastReceived time.Time // when its state was last received
	// mustConfirm is set if it must confirm this entry; confirmed is the latest of this
	// entry's timestamps that it has echoed.
	mustConfirm bool
	confirmed   time.Time
	// removedAt is when its announcement had disappeared; zero if it may serve.
	removedAt time.Time
}

// New returns a Resolver for the entry with the given incarnation.
func New(self string, opts Options) *Resolver {
	return &Resolver{opts: opts.WithDefaults(), self: self, members: make(map[string]*member)}
}

// AnnouncementRenewed records that the announcement is valid until the given time, counted
// from before the call that renewed it. It reports whether the list must be read. Both
// times are those of a clock that counts suspension.
func (d *Resolver) AnnouncementRenewed(now, until time.Time) (list bool) {
	d.ExpireAnnouncement(now)
	if !d.announced {
		// It may have lapsed, and the other entries have excluded this one.
		d.listedAt, d.ownsSince = time.Time{}, time.Time{}
	}
	d.announced, d.announcedUntil = true, until
	return d.listedAt.IsZero()
}

// ExpireAnnouncement ends the announcement once it may have lapsed. Now is the time of the
// clock given to AnnouncementRenewed. It must be called before each Home.
func (d *Resolver) ExpireAnnouncement(now time.Time) {
	d.announced = d.announced && now.Before(d.announcedUntil)
}

// ApplyList applies the whole list of announced entries. ReadAt is a time before the
// call that read the list and after AnnouncementRenewed. Call ApplyList also when an announcement
// is reported to be gone.
func (d *Resolver) ApplyList(now, readAt time.Time, incarnations []string) {
	for inc, m := range d.members {
		// A member whose state was received since may have announced itself after the
		// list was read.
		if m.removedAt.IsZero() && m.lastReceived.Before(readAt) && !slices.Contains(incarnations, inc) {
			m.removedAt = now
		}
	}
	first := d.listedAt.IsZero()
	if first {
		d.listedAt = now
	}
	for _, inc := range incarnations {
		if m := d.include(inc); m != nil && first {
			m.mustConfirm = true
		}
	}
	d.updateOwnership(now)
}

// include returns the member of another entry and includes it in the hashing. It
// returns nil for this entry.
func (d *Resolver) include(incarnation string) *member {
	if incarnation == d.self || incarnation == "" {
		return nil
	}
	m := d.members[incarnation]
	if m == nil {
		m = &member{}
		d.members[incarnation] = m
	}
	m.removedAt = time.Time{}
	return m
}

// Echo returns a timestamp to the entry that sent it.
type Echo struct {
	Entry string
	Stamp time.Time
}

// State returns what to send to the other entries: a timestamp, and the echoes for
// the entries that are included.
func (d *Resolver) State(now time.Time) (stamp time.Time, echoes []Echo) {
	for inc, m := range d.members {
		if m.removedAt.IsZero() && !m.lastStamp.IsZero() {
			echoes = append(echoes, Echo{Entry: inc, Stamp: m.lastStamp})
		}
	}
	slices.SortFunc(echoes, func(a, b Echo) int { return cmp.Compare(a.Entry, b.Entry) })
	return now, echoes
}

// ReceiveState applies another entry's State.
func (d *Resolver) ReceiveState(now time.Time, from string, stamp time.Time, echoes []Echo) {
	m := d.include(from)
	if m == nil {
		return
	}
	m.lastReceived = now
	if stamp.After(m.lastStamp) {
		m.lastStamp = stamp
	}
	for _, e := range echoes {
		if e.Entry == d.self && e.Stamp.After(m.confirmed) {
			m.confirmed = e.Stamp
		}
	}
	d.updateOwnership(now)
}

// updateOwnership makes this entry own keys once every entry on its first list has
// confirmed it.
func (d *Resolver) updateOwnership(now time.Time) {
	if !d.ownsSince.IsZero() || d.listedAt.IsZero() {
		return
	}
	for _, m := range d.members {
		if m.mustConfirm && m.removedAt.IsZero() && !m.confirmed.After(d.listedAt) {
			return
		}
	}
	d.ownsSince = now
}

// Verdict says which entry is home to a key.
type Verdict uint8

// Verdicts.
const (
	// Unknown: no entry is known to own the key. The job's outcome is unknown.
	Unknown Verdict = iota
	// Local: this entry may start the key.
	Local
	// Remote: the named entry is the key's home.
	Remote
)

// Home returns which entry is home to a key that was first sent at the given time of
// the caller's clock.
func (d *Resolver) Home(now time.Time, key string, firstSent time.Time) (Verdict, string) {
	if firstSent.After(now.Add(d.opts.Skew)) || firstSent.Before(now.Add(-d.opts.KeyTTL)) {
		return Unknown, ""
	}
	from := firstSent.Add(-d.opts.Skew)
	names := []string{d.self}
	for inc, m := range d.members {
		switch {
		case m.removedAt.IsZero() || m.removedAt.After(from):
			names = append(names, inc)
		case now.Sub(m.removedAt) > d.opts.KeyTTL+d.opts.Skew:
			delete(d.members, inc)
		}
	}
	slices.Sort(names)
	home := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
	switch {
	case home != d.self && d.members[home].removedAt.IsZero():
		return Remote, home
	case home != d.self || d.ownsSince.IsZero() || from.Before(d.ownsSince) || !d.announced:
		return Unknown, ""
	}
	return Local, d.self
}
