package agent

import (
	"cmp"
	"maps"
	"slices"
)

// queueEviction queues a job for eviction if no entry waits for it: all tasks have
// ended, and every result is acknowledged or the home is presumed dead.
func (a *Agent) queueEviction(rec *record) {
	if rec.evictionQueued || rec.active > 0 || !a.evictable(rec) {
		return
	}
	rec.evictionQueued = true
	a.evictionQueue = append(a.evictionQueue, rec)
}

func (a *Agent) evictable(rec *record) bool {
	if rec.open == 0 {
		return true
	}
	home := a.homeOf(rec)
	return home == nil || home.lost
}

// queueEvictionsOf queues the ended jobs of a home that is presumed dead for
// eviction. Otherwise results that it will never acknowledge would occupy the table
// indefinitely.
func (a *Agent) queueEvictionsOf(home string) {
	for _, rec := range a.sortedRecords(home) {
		a.queueEviction(rec)
	}
}

// evict drops the oldest jobs that no entry waits for while the agent is at one of
// its limits. Until then they are kept, since the home may fail before it has
// answered its caller.
func (a *Agent) evict() {
	for len(a.evictionQueue) > 0 && (a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes) {
		rec := a.evictionQueue[0]
		a.evictionQueue = a.evictionQueue[1:]
		if a.jobs[rec.name] != rec {
			continue
		}
		if rec.active > 0 || !a.evictable(rec) {
			rec.evictionQueued = false
			continue
		}
		a.evictedHomes.add(rec.home)
		if rec.open > 0 {
			a.unackedHomes.add(rec.home)
		}
		a.evictions++
		a.removeRecord(rec)
	}
}

func (a *Agent) removeRecord(rec *record) {
	for _, t := range rec.tasks {
		a.tasks--
		a.resultBytes -= len(t.result.GetBody())
	}
	delete(a.jobs, rec.name)
}

// removeLostPeers removes lost entries that have no job here.
func (a *Agent) removeLostPeers() {
	homes := make(map[string]bool)
	for _, rec := range a.jobs {
		homes[rec.home] = true
	}
	a.peers = slices.DeleteFunc(a.peers, func(p *peer) bool { return p.lost && !homes[p.hello.Incarnation] })
}

func (r *record) ref(index uint32) TaskRef {
	return TaskRef{Contract: r.contract, Job: r.id, Task: index}
}

func (r *record) watch(entry string) {
	if entry != r.home && !slices.Contains(r.watchers, entry) {
		r.watchers = append(r.watchers, entry)
	}
}

func (r *record) sortedTasks() []*task {
	out := make([]*task, 0, len(r.tasks))
	for _, i := range slices.Sorted(maps.Keys(r.tasks)) {
		out = append(out, r.tasks[i])
	}
	return out
}

// sortedRecords returns the jobs of a home in a deterministic order.
func (a *Agent) sortedRecords(home string) []*record {
	var out []*record
	for _, rec := range a.jobs {
		if rec.home == home {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(x, y *record) int { return cmp.Compare(x.name, y.name) })
	return out
}

// homeSet is a bounded set of home incarnations. Once more homes than the bound
// were added, it reports every home as a member, which is the safe error.
type homeSet struct {
	homes map[string]bool
	all   bool
}

func (s *homeSet) add(home string) {
	if s.homes == nil {
		s.homes = make(map[string]bool)
	}
	if len(s.homes) >= maxEvictedHomes {
		s.all = true
		return
	}
	s.homes[home] = true
}

func (s *homeSet) has(home string) bool { return s.all || s.homes[home] }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
