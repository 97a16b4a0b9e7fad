package agent

import (
	"cmp"
	"maps"
	"slices"
)

// retire queues a job for eviction once nobody waits for it: every result was
// acknowledged, or every task has ended and the home is gone.
func (a *Agent) retire(rec *record) {
	if rec.listed || rec.running > 0 || !a.unwanted(rec) {
		return
	}
	rec.listed = true
	a.ended = append(a.ended, rec)
}

func (a *Agent) unwanted(rec *record) bool {
	if rec.open == 0 {
		return true
	}
	home := a.homeOf(rec)
	return home == nil || home.lost
}

// retireAll goes through the jobs of a home that has just been taken for gone.
// Otherwise results that it will never acknowledge would fill the table for good.
func (a *Agent) retireAll(home string) {
	for _, rec := range a.sortedRecords(home) {
		a.retire(rec)
	}
}

// evict drops the oldest jobs that nobody waits for, while the agent holds more
// than its bounds. They are kept that long for the case that the home dies before
// it has answered its caller.
func (a *Agent) evict() {
	for len(a.ended) > 0 && (a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes) {
		rec := a.ended[0]
		a.ended = a.ended[1:]
		if a.jobs[rec.name] != rec {
			continue
		}
		if rec.running > 0 || !a.unwanted(rec) {
			rec.listed = false
			continue
		}
		a.evicted.add(rec.home)
		if rec.open > 0 {
			a.unacked.add(rec.home)
		}
		a.dropped++
		a.forget(rec)
	}
}

func (a *Agent) forget(rec *record) {
	for _, t := range rec.tasks {
		a.tasks--
		a.resultBytes -= len(t.result.GetBody())
	}
	delete(a.jobs, rec.name)
}

// forgetPeers drops entries that are gone and have no job here.
func (a *Agent) forgetPeers() {
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

// sortedRecords lists the jobs of a home in a repeatable order.
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

// homeSet is a set of home incarnations with a bound: beyond it, every home
// counts as a member, which errs to the safe side.
type homeSet struct {
	homes map[string]bool
	all   bool
}

func (s *homeSet) add(home string) {
	if s.homes == nil {
		s.homes = make(map[string]bool)
	}
	if len(s.homes) >= maxHomes {
		s.all = true
		return
	}
	s.homes[home] = true
}

func (s *homeSet) has(home string) bool { return s.all || s.homes[home] }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
