// Package roster keeps the list of an installation's entries in the platform's
// store, for processes whose seeds are stale and who know no living entry. It is a
// hint, never a belief: who is on it must still answer.
package roster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/platform/store"
)

const (
	// Prefix of the entries' keys.
	Prefix = "papayahoist/entries/"
	// ttl is how long an entry that has ended is listed.
	ttl = 12 * time.Second
	// renewEvery leaves two renewals to be lost before the lease ends.
	renewEvery = 4 * time.Second
	// alone is how long an entry waits for others to answer before it looks for them.
	alone = 500 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryAfter = time.Second
)

// Options configure a Roster.
type Options struct {
	Store         store.Client
	Name, Address string
	// ListEvery is how often the entry looks for others that its seeds don't lead to.
	ListEvery func() time.Duration
	// Alone reports whether it knows no other; then it looks at once.
	Alone  func() bool
	Logger *slog.Logger
}

// Roster keeps one entry listed.
type Roster struct {
	o       Options
	lease   atomic.Int64
	leaving atomic.Bool
}

// New returns a Roster; Run keeps the entry listed.
func New(o Options) *Roster { return &Roster{o: o} }

// Run lists the entry and reports the others until the context ends.
func (r *Roster) Run(ctx context.Context, found func(addresses []string)) {
	// Those that begin together look at different times, but for one that finds no other.
	listed := time.Now().Add(-rand.N(r.o.ListEvery()))
	wait, begins := alone, true
	for ctx.Err() == nil && !r.leaving.Load() {
		renewed := r.renew(ctx)
		if renewed != nil {
			r.o.Logger.Warn("roster_not_renewed", "err", renewed)
		}
		r.pause(ctx, wait)
		wait = renewEvery
		if renewed != nil {
			wait = retryAfter
		}
		due := time.Since(listed) >= r.o.ListEvery() || begins && r.o.Alone()
		begins = false
		if !due {
			continue
		}
		if addresses, err := Find(ctx, r.o.Store); err == nil {
			listed = time.Now()
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

// renew keeps the lease, or takes a new one and writes the entry's key under it.
func (r *Roster) renew(ctx context.Context) error {
	if id := store.LeaseID(r.lease.Load()); id != 0 {
		err := r.o.Store.KeepAlive(ctx, id)
		if !store.IsLeaseGone(err) {
			return err
		}
		r.lease.Store(0)
	}
	id, err := r.o.Store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	key := Prefix + r.o.Name
	prev := store.Revision(0)
	// An earlier process of the same name may have left its key.
	if item, err := r.o.Store.Get(ctx, key); err == nil {
		prev = item.Revision
	}
	if _, err := r.o.Store.CompareAndSwap(ctx, key, prev, []byte(r.o.Address), id); err != nil {
		return err
	}
	r.lease.Store(int64(id))
	return nil
}

// Leave takes the entry off the list.
func (r *Roster) Leave() {
	r.leaving.Store(true)
	if id := store.LeaseID(r.lease.Load()); id != 0 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), retryAfter)
			defer cancel()
			if err := r.o.Store.Revoke(ctx, id); err != nil {
				r.o.Logger.Warn("roster_not_left", "err", err)
			}
		}()
	}
}

// Find reads the addresses of the entries listed.
func Find(ctx context.Context, c store.Client) ([]string, error) {
	items, _, err := c.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, i := range items {
		out = append(out, string(i.Value))
	}
	return out, nil
}
