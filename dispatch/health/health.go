// Package health judges agents by the results of their tasks, against other
// agents on the same contract and kind. A worker that fails what others complete
// is suspended, and a job that fails everywhere harms no worker's standing.
//
// A suspended agent gets work again by a trial: one task, which runs nowhere else.
//
// The package does no I/O, reads no clock and starts no goroutine. A [Judge] is
// not safe for concurrent use.
package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Options tunes a judge. Zero fields take the defaults.
type Options struct {
	// FirstBackoff is how long the first suspension lasts; each failed trial
	// doubles it up to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// MaxSuspended is the largest part of the agents that may be suspended.
	// Beyond it, what looks like many bad workers has a common cause, and
	// taking more of them away would only lose capacity.
	MaxSuspended float64
	// MaxKinds is the most pairs of contract and kind compared.
	MaxKinds int
}

// Defaults of Options.
const (
	DefaultFirstBackoff = time.Second
	DefaultMaxBackoff   = time.Minute
	DefaultMaxSuspended = 0.34
	DefaultMaxKinds     = 1024
)

const (
	// gain is the weight of a new result against all before.
	gain = 0.25
	// suspendAt is the share of failures beyond the others' at which an agent
	// is suspended: three in a row when others complete everything.
	suspendAt = 0.5
	// suspendSlowness is how many times slower than others an agent must be
	// for the same.
	suspendSlowness = 6
	maxSlowness     = 20
	// suspicion is how much slower an agent counts while all its results are
	// failures that nothing can be compared with. It makes the next task of
	// the kind go elsewhere, which gives the comparison.
	suspicion = 4
	// peersPerKind bounds the agents compared on one kind.
	peersPerKind = 32
)

// Result is the end of a task. Tasks that a caller cancelled are no results.
type Result struct {
	Contract, Kind string
	// Failed tells that the endpoint failed the task, or that it was lost or
	// overran its deadline there.
	Failed bool
	Run    time.Duration
}

type kindKey struct{ contract, kind string }

// peer is one agent's results on one kind.
type peer struct {
	agent    string
	failures float64
	// run is the mean run time of completed tasks in seconds, zero if none.
	run  float64
	last time.Time
}

type kindTable struct {
	peers []peer
	last  time.Time
}

type agent struct {
	// excess is the share of failures beyond that of others.
	excess float64
	// unjudged is the share of failures while there was nobody to compare with.
	unjudged float64
	// logSlowness is the mean logarithm of run time against others.
	logSlowness float64
	standing    place.Standing
	until       time.Time
	backoff     time.Duration
}

// Judge keeps the standing of agents. Use [New].
type Judge struct {
	options   Options
	agents    map[string]*agent
	kinds     map[kindKey]*kindTable
	suspended int
}

// New returns a judge without agents.
func New(options Options) *Judge {
	options.FirstBackoff = cmp.Or(options.FirstBackoff, DefaultFirstBackoff)
	options.MaxBackoff = cmp.Or(options.MaxBackoff, DefaultMaxBackoff)
	options.MaxSuspended = cmp.Or(options.MaxSuspended, DefaultMaxSuspended)
	options.MaxKinds = cmp.Or(options.MaxKinds, DefaultMaxKinds)
	return &Judge{options: options, agents: make(map[string]*agent), kinds: make(map[kindKey]*kindTable)}
}

// Add makes an agent known. An agent process that restarted begins anew: call
// Remove first.
func (j *Judge) Add(name string) {
	if j.agents[name] == nil {
		j.agents[name] = &agent{backoff: j.options.FirstBackoff}
	}
}

// Remove forgets an agent.
func (j *Judge) Remove(name string) {
	a := j.agents[name]
	if a == nil {
		return
	}
	j.setStanding(a, place.Open)
	delete(j.agents, name)
	for _, table := range j.kinds {
		table.peers = slices.DeleteFunc(table.peers, func(p peer) bool { return p.agent == name })
	}
}

// Standing returns what work an agent may get at a time. A suspension that has
// run out becomes a trial.
func (j *Judge) Standing(name string, now time.Time) place.Standing {
	a := j.agents[name]
	if a == nil {
		return place.Open
	}
	if a.standing == place.Suspended && !now.Before(a.until) {
		j.setStanding(a, place.Trial)
	}
	return a.standing
}

// Slowness returns how much longer than on other agents a task is expected to
// take; 1 is usual.
func (j *Judge) Slowness(name string) float64 {
	a := j.agents[name]
	if a == nil {
		return 1
	}
	slowness := math.Exp(a.logSlowness) * (1 + suspicion*a.unjudged)
	return min(max(slowness, 1/float64(maxSlowness)), maxSlowness)
}

// Report takes the end of a task at an agent. It returns whether the agent's
// standing changed.
func (j *Judge) Report(name string, r Result, now time.Time) bool {
	a := j.agents[name]
	if a == nil {
		return false
	}
	table := j.table(kindKey{r.Contract, r.Kind}, now)
	before := a.standing
	j.judge(a, table.others(name), r, now)
	table.add(name, r, now)
	return a.standing != before
}

// others is how the other agents do on a kind.
type others struct {
	known    bool
	failures float64
	run      float64
}

func (j *Judge) judge(a *agent, o others, r Result, now time.Time) {
	if !o.known {
		if a.standing == place.Trial && !r.Failed {
			j.recover(a)
		}
		a.unjudged += gain * (toFloat(r.Failed) - a.unjudged)
		return
	}
	a.unjudged *= 1 - gain
	excess := max(toFloat(r.Failed)-o.failures, 0)
	a.excess += gain * (excess - a.excess)
	slow := false
	if !r.Failed && o.run > 0 && r.Run > 0 {
		ratio := r.Run.Seconds() / o.run
		limited := min(max(ratio, 1/float64(maxSlowness)), maxSlowness)
		a.logSlowness += gain * (math.Log(limited) - a.logSlowness)
		slow = ratio > suspendSlowness
	}
	switch {
	case a.standing == place.Trial && (excess >= suspendAt || slow):
		a.backoff = min(2*a.backoff, j.options.MaxBackoff)
		j.suspend(a, now)
	case a.standing == place.Trial && !r.Failed:
		j.recover(a)
	case a.standing == place.Open && (a.excess >= suspendAt || a.logSlowness >= math.Log(suspendSlowness)):
		j.suspend(a, now)
	}
}

func (j *Judge) suspend(a *agent, now time.Time) {
	if a.standing == place.Open && float64(j.suspended+1) > j.options.MaxSuspended*float64(len(j.agents)) {
		return
	}
	j.setStanding(a, place.Suspended)
	a.until = now.Add(a.backoff)
}

// recover ends a trial. What was held against the agent is halved, so that it
// is suspended sooner if the trial was luck.
func (j *Judge) recover(a *agent) {
	j.setStanding(a, place.Open)
	a.backoff = j.options.FirstBackoff
	a.excess /= 2
	a.logSlowness /= 2
}

// setStanding also counts agents on trial as suspended: they take no real part
// of the load.
func (j *Judge) setStanding(a *agent, to place.Standing) {
	if a.standing == place.Open && to != place.Open {
		j.suspended++
	}
	if a.standing != place.Open && to == place.Open {
		j.suspended--
	}
	a.standing = to
}

func (j *Judge) table(key kindKey, now time.Time) *kindTable {
	table := j.kinds[key]
	if table == nil {
		if len(j.kinds) >= j.options.MaxKinds {
			j.forgetOldestKind()
		}
		table = &kindTable{}
		j.kinds[key] = table
	}
	table.last = now
	return table
}

func (j *Judge) forgetOldestKind() {
	var oldest kindKey
	var table *kindTable
	for key, t := range j.kinds {
		if table == nil || t.last.Before(table.last) {
			oldest, table = key, t
		}
	}
	delete(j.kinds, oldest)
}

// others takes medians, so that a few bad agents do not shift the comparison.
func (t *kindTable) others(name string) others {
	var failures, runs [peersPerKind]float64
	n, timed := 0, 0
	for i := range t.peers {
		p := &t.peers[i]
		if p.agent == name {
			continue
		}
		failures[n] = p.failures
		n++
		if p.run > 0 {
			runs[timed] = p.run
			timed++
		}
	}
	return others{known: n > 0, failures: median(failures[:n]), run: median(runs[:timed])}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (t *kindTable) add(name string, r Result, now time.Time) {
	pos := slices.IndexFunc(t.peers, func(p peer) bool { return p.agent == name })
	if pos < 0 {
		pos = t.place(name)
		t.peers[pos] = peer{agent: name, failures: toFloat(r.Failed)}
	}
	p := &t.peers[pos]
	p.last = now
	p.failures += gain * (toFloat(r.Failed) - p.failures)
	switch run := r.Run.Seconds(); {
	case r.Failed || run <= 0:
	case p.run == 0:
		p.run = run
	default:
		p.run += gain * (run - p.run)
	}
}

// place returns the position for a new agent, if need be that of the one whose
// results are oldest.
func (t *kindTable) place(name string) int {
	if len(t.peers) < peersPerKind {
		t.peers = append(t.peers, peer{agent: name})
		return len(t.peers) - 1
	}
	oldest := 0
	for i := range t.peers {
		if t.peers[i].last.Before(t.peers[oldest].last) {
			oldest = i
		}
	}
	return oldest
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
