package agent

import (
	"maps"
	"slices"
)

// retire queues a job for eviction once nothing of it is open.
func (a *Agent) retire(rec *record) {
	if rec.open > 0 || rec.listed {
		return
	}
	rec.listed = true
	a.ended = append(a.ended, rec)
}

// evict drops the oldest jobs whose results were acknowledged, while the agent
// holds more than its bounds. They are kept that long for the case that the home
// dies before it has answered its caller.
func (a *Agent) evict() {
	for len(a.ended) > 0 && (a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes) {
		rec := a.ended[0]
		a.ended = a.ended[1:]
		if a.jobs[rec.job] != rec {
			continue
		}
		if rec.open > 0 {
			rec.listed = false
			continue
		}
		a.evicted[rec.home] = true
		a.dropped++
		a.forget(rec)
	}
}

func (a *Agent) forget(rec *record) {
	for _, t := range rec.tasks {
		a.tasks--
		a.resultBytes -= len(t.result.GetBody())
	}
	delete(a.jobs, rec.job)
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
	for _, id := range sortedKeys(a.jobs) {
		if a.jobs[id].home == home {
			out = append(out, a.jobs[id])
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
