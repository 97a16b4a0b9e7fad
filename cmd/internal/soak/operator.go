package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
)

// Queues. The fixed ones are in each version; droppable in those with an even
// number; and each version has one of its own, by which to tell whether it is in
// force.
const (
	fixedQueues = 3
	droppable   = "/dropped/"
)

func fixedQueue(n int) string { return fmt.Sprintf("/queue%d/", n) }

func versionQueue(version int) string { return fmt.Sprintf("/version%d/", version) }

// operator writes versions of the configuration, and asks the entries which one is
// in force.
type operator struct {
	c      *cluster
	client *http.Client

	mu      sync.Mutex
	version int
	written time.Duration
	seen    map[string]seenVersion // by entry
}

// seenVersion is what one run of an entry has shown.
type seenVersion struct{ life, version int }

func newOperator(c *cluster) *operator {
	return &operator{c: c, client: &http.Client{Timeout: askTimeout}, seen: map[string]seenVersion{}}
}

const (
	askTimeout = time.Second
	askEvery   = 150 * time.Millisecond
)

func manifest(version int) []byte {
	var routes []map[string]any
	add := func(prefix string) {
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "host": hostName, "prefix": prefix, "service": service,
			"timeout_ms": 10000, "target_latency_ms": 300, "attempts": attemptsPerTask, "stretch": 5, "priority": len(routes) % 3,
		})
	}
	for i := range fixedQueues {
		add(fixedQueue(i))
	}
	if version%2 == 0 {
		add(droppable)
	}
	add(versionQueue(version))
	text, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": service}}})
	return text
}

// write puts the next version into the store.
func (o *operator) write() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.put(o.version)
}

// race writes the next versions at once, the newest before an older one.
func (o *operator) race() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	for _, v := range []int{o.version - 2, o.version, o.version - 1} {
		o.put(v)
	}
}

// old writes an earlier version again: it must change nothing.
func (o *operator) old() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(max(1, o.version-1))
}

// unreadable writes what is no configuration.
func (o *operator) unreadable() { o.c.store.Put(adapter.ConfigurationKey, []byte("\x00{")) }

// right writes the newest version over what went wrong: an entry that was away has
// no other way to know it.
func (o *operator) right() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(o.version)
}

func (o *operator) put(version int) {
	o.c.store.Put(adapter.ConfigurationKey, manifest(version))
	if version < o.version {
		return
	}
	// Written again, it counts from then: it may not have been read before.
	o.written = o.c.since()
	if version%2 == 0 {
		o.c.ledger.Queues(o.written, []string{droppable}, nil)
	} else {
		o.c.ledger.Queues(o.written, nil, []string{droppable})
	}
}

// evacuate evacuates a failure domain for a while.
func (o *operator) evacuate(domain string, lasts time.Duration) {
	key := adapter.EvacuationKey(domain)
	o.c.store.Put(key, []byte("{}"))
	o.c.ledger.Evacuated(o.c.since(), domain)
	time.Sleep(lasts)
	o.c.ledger.Restored(domain)
	o.c.store.Remove(key)
}

// run asks all entries until the context ends.
func (o *operator) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range o.c.entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				o.ask(ctx, e)
				select {
				case <-ctx.Done():
				case <-time.After(askEvery):
				}
			}
		})
	}
	wg.Wait()
}

// ask looks which version is in force at an entry: that of its answer about the
// newest one's queue.
func (o *operator) ask(ctx context.Context, e *node) {
	o.mu.Lock()
	version, written, seen := o.version, o.written, o.seen[e.name]
	o.mu.Unlock()
	life, asked := e.life(), o.c.since()
	if life == 0 || version == 0 {
		return
	}
	if seen.life != life {
		seen = seenVersion{life: life}
	}
	// Around the relay: how the network fails must not look like a version.
	has, ok := o.has(ctx, e, version)
	if !ok || e.life() != life {
		return
	}
	switch {
	case has:
		seen.version = max(seen.version, version)
	case seen.version >= version && o.newest() == version:
		o.c.ledger.Break(o.c.since(), promiseNoRevert, "%s no longer goes by version %d, which it had", e.name, version)
	case asked-written > configurationBound && o.c.ledger.calm(asked) && o.c.ledger.calm(written):
		o.c.ledger.Break(o.c.since(), promiseInForce, "%s doesn't go by version %d, %v after it was written", e.name, version, asked-written)
	}
	if older := version - 1; older > 0 && seen.version >= version {
		if has, ok := o.has(ctx, e, older); ok && has && e.life() == life {
			o.c.ledger.Break(o.c.since(), promiseNoRevert, "%s goes by version %d again, after %d", e.name, older, seen.version)
		}
	}
	o.mu.Lock()
	o.seen[e.name] = seen
	o.mu.Unlock()
}

func (o *operator) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// has asks whether an entry knows the queue of a version; not ok: it can't tell.
func (o *operator) has(ctx context.Context, e *node, version int) (has, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at(e.ip, callersPort)+versionQueue(version), nil)
	if err != nil {
		return false, false
	}
	req.Host = hostName
	resp, err := o.client.Do(req)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK, resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNotFound
}
