// Package roster maintains the list of an installation's entries in the platform's
// store. Processes whose seeds are stale use it to find a live entry. The list is
// only a hint: a listed entry counts as live only once it has answered.
package roster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/store"
)

const (
	// KeyPrefix is the key prefix of the entries in the store.
	KeyPrefix = "papayahoist/entries/"
	// leaseTTL is how long an entry that has crashed stays listed.
	leaseTTL = 12 * time.Second
	// renewInterval allows two renewals to fail before the lease expires.
	renewInterval = 4 * time.Second
	// firstListDelay is how long a starting entry waits for other entries to answer
	// before it reads the list.
	firstListDelay = 500 * time.Millisecond
	// retryDelay is the delay after a failed call, and the timeout of the call that
	// removes the entry from the list.
	retryDelay = time.Second
)

// Options configure a Roster.
type Options struct {
	Store         store.Client
	Name, Address string
	// ListInterval returns the interval at which the entry reads the list, to find
	// entries that its seeds don't lead to.
	ListInterval func() time.Duration
	// NoPeers reports whether the entry knows no other. If that is so shortly after Run
	// begins, the list is read at once.
	NoPeers func() bool
	Logger  *slog.Logger
}

// Roster keeps one entry on the list.
type Roster struct {
	opts    Options
	finder  *Finder
	lease   atomic.Int64
	leaving atomic.Bool
}

// New returns a Roster. Run adds the entry to the list and keeps it there.
func New(o Options) *Roster { return &Roster{opts: o, finder: NewFinder(o.Store, o.Logger)} }

// Run keeps the entry on the list until the context ends or Leave is called. It
// passes the addresses of all listed entries, its own included, to found after each
// read of the list.
func (r *Roster) Run(ctx context.Context, found func(addresses []string)) {
	// Entries that start together read the list at different times, except for one
	// that knows no other.
	lastListed := time.Now().Add(-rand.N(r.opts.ListInterval()))
	wait, first := firstListDelay, true
	for ctx.Err() == nil && !r.leaving.Load() {
		renewErr := r.renew(ctx)
		if renewErr != nil {
			r.opts.Logger.Warn("roster_not_renewed", "err", renewErr)
		}
		r.pause(ctx, wait)
		wait = renewInterval
		if renewErr != nil {
			wait = retryDelay
		}
		listDue := time.Since(lastListed) >= r.opts.ListInterval() || first && r.opts.NoPeers()
		first = false
		if !listDue {
			continue
		}
		if addresses, err := r.finder.Find(ctx); err == nil {
			lastListed = time.Now()
			found(addresses)
		}
	}
}

func (r *Roster) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// renew renews the lease. If there is none, it requests one and writes the entry's
// key under it.
func (r *Roster) renew(ctx context.Context) error {
	if id := store.LeaseID(r.lease.Load()); id != 0 {
		err := r.opts.Store.KeepAlive(ctx, id)
		if !store.IsLeaseGone(err) {
			return err
		}
		r.lease.Store(0)
	}
	id, err := r.opts.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	key := KeyPrefix + r.opts.Name
	prevRevision := store.Revision(0)
	// An earlier process of the same name may have left its key in the store.
	if item, err := r.opts.Store.Get(ctx, key); err == nil {
		prevRevision = item.Revision
	}
	if _, err := r.opts.Store.CompareAndSwap(ctx, key, prevRevision, []byte(r.opts.Address), id); err != nil {
		return err
	}
	r.lease.Store(int64(id))
	return nil
}

// Leave removes the entry from the list. It does not block.
func (r *Roster) Leave() {
	r.leaving.Store(true)
	if id := store.LeaseID(r.lease.Load()); id != 0 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), retryDelay)
			defer cancel()
			if err := r.opts.Store.Revoke(ctx, id); err != nil {
				r.opts.Logger.Warn("roster_not_left", "err", err)
			}
		}()
	}
}

// Finder reads the list.
type Finder struct {
	store  store.Client
	logger *slog.Logger

	mu         sync.Mutex
	unreadable map[string]store.Revision // listed keys without an address, by the revision that was logged
}

// NewFinder returns a Finder.
func NewFinder(c store.Client, l *slog.Logger) *Finder { return &Finder{store: c, logger: l} }

// Find returns the addresses of the listed entries. Another program may have left a key that
// holds none: it is skipped, and logged once.
func (f *Finder) Find(ctx context.Context) ([]string, error) {
	items, _, err := f.store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	unreadable := map[string]store.Revision{}
	for _, i := range items {
		address, err := settings.ParseAddress(string(i.Value))
		if err == nil {
			out = append(out, address.String())
			continue
		}
		unreadable[i.Key] = i.Revision
		if f.unreadable[i.Key] != i.Revision {
			f.logger.Warn("roster_entry_unreadable", "key", i.Key, "revision", uint64(i.Revision), "err", err)
		}
	}
	f.unreadable = unreadable
	return out, nil
}
