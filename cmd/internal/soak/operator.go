package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
)

// Queues of the configuration. The fixed ones are in every version, droppableQueue in
// versions with an even number. Each version also has a queue of its own, which
// shows whether it is in force.
const (
	fixedQueues    = 3
	droppableQueue = "/dropped/"
)

func fixedQueue(n int) string { return fmt.Sprintf("/queue%d/", n) }

func versionQueue(version int) string { return fmt.Sprintf("/version%d/", version) }

// operator writes versions of the configuration, and polls the entries for the
// version in force.
type operator struct {
	c      *cluster
	client *http.Client

	mu      sync.Mutex
	version int
	further int // queues in addition to the usual ones
	random  *rand.Rand
	written time.Duration
	seen    map[string]seenVersion // by entry
}

// seenVersion is the newest version that an incarnation of an entry has shown.
type seenVersion struct{ incarnation, version int }

// furtherQueues are the numbers of further queues. With the largest, a version is near the size
// of the largest value that the store accepts.
var furtherQueues = []int{0, 0, 1000, 5000}

// firstVersions are written before the processes serve.
const firstVersions = 2

func newOperator(c *cluster, seed uint64) *operator {
	return &operator{c: c, random: rand.New(rand.NewPCG(seed, 5)), client: &http.Client{Timeout: requestTimeout}, seen: map[string]seenVersion{}}
}

const (
	requestTimeout = time.Second
	pollInterval   = 150 * time.Millisecond
)

// manifest returns a version with a number of further queues, which no job uses.
func manifest(version, further int) []byte {
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
		add(droppableQueue)
	}
	add(versionQueue(version))
	for i := range further {
		add(fmt.Sprintf("/further%05d/", i))
	}
	text, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": service}}})
	return text
}

// write stores the next version. It and later ones have a random number of further queues.
func (o *operator) write() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	if o.version > firstVersions {
		o.further = furtherQueues[o.random.IntN(len(furtherQueues))]
	}
	o.put(o.version)
}

// writeRacing stores several new versions at once, the newest before an older one.
func (o *operator) writeRacing() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	for _, v := range []int{o.version - 2, o.version, o.version - 1} {
		o.put(v)
	}
}

// writeOld stores an earlier version again, which must have no effect.
func (o *operator) writeOld() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(max(1, o.version-1))
}

// writeUnreadable stores bytes that are not a configuration.
func (o *operator) writeUnreadable() { o.c.store.Put(adapter.ConfigurationKey, []byte("\x00{")) }

// rewriteNewest stores the newest version again after a faulty write: an entry that
// was down has no other way to learn it.
func (o *operator) rewriteNewest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put(o.version)
}

func (o *operator) put(version int) {
	o.c.store.Put(adapter.ConfigurationKey, manifest(version, o.further))
	if version < o.version {
		return
	}
	// The time bound starts again: entries may not have read the earlier write.
	o.written = o.c.since()
	if version%2 == 0 {
		o.c.checker.QueuesChanged(o.written, []string{droppableQueue}, nil)
	} else {
		o.c.checker.QueuesChanged(o.written, nil, []string{droppableQueue})
	}
}

// evacuate evacuates a failure domain for a while.
func (o *operator) evacuate(domain string, lasts time.Duration) {
	key := adapter.EvacuationKey(domain)
	o.c.store.Put(key, []byte("{}"))
	o.c.checker.DomainEvacuated(o.c.since(), domain)
	time.Sleep(lasts)
	o.c.checker.DomainRestored(domain)
	o.c.store.Remove(key)
}

// run polls all entries until the context ends.
func (o *operator) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range o.c.entries {
		wg.Go(func() {
			for ctx.Err() == nil {
				o.checkEntry(ctx, e)
				select {
				case <-ctx.Done():
				case <-time.After(pollInterval):
				}
			}
		})
	}
	wg.Wait()
}

// checkEntry checks which version is in force at an entry, by whether it serves the
// queue of the newest version.
func (o *operator) checkEntry(ctx context.Context, e *node) {
	o.mu.Lock()
	version, written, seen := o.version, o.written, o.seen[e.name]
	o.mu.Unlock()
	incarnation, asked := e.incarnation(), o.c.since()
	if incarnation == 0 || version == 0 {
		return
	}
	if seen.incarnation != incarnation {
		seen = seenVersion{incarnation: incarnation}
	}
	// Bypass the relay: a network fault must not be mistaken for a version change.
	has, ok := o.hasVersion(ctx, e, version)
	if !ok || e.incarnation() != incarnation {
		return
	}
	switch {
	case has:
		seen.version = max(seen.version, version)
	case seen.version >= version && o.newestVersion() == version:
		o.c.checker.AddFinding(o.c.since(), promiseNoRevert, "%s no longer applies version %d, which was in force", e.name, version)
	case asked-written > configurationBound && o.c.checker.calm(asked) && o.c.checker.calm(written):
		o.c.checker.AddFinding(o.c.since(), promiseInForce, "%s doesn't apply version %d, %v after it was written", e.name, version, asked-written)
	}
	if older := version - 1; older > 0 && seen.version >= version {
		if has, ok := o.hasVersion(ctx, e, older); ok && has && e.incarnation() == incarnation {
			o.c.checker.AddFinding(o.c.since(), promiseNoRevert, "%s applies version %d again, after %d", e.name, older, seen.version)
		}
	}
	o.mu.Lock()
	o.seen[e.name] = seen
	o.mu.Unlock()
}

func (o *operator) newestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// hasVersion reports whether an entry serves the queue of a version; ok is false if
// that is not known.
func (o *operator) hasVersion(ctx context.Context, e *node, version int) (has, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostPort(e.ip, callersPort)+versionQueue(version), nil)
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
