// Package health evaluates agents by the results of their tasks, compared with other agents on
// the same contract and kind. An agent that fails tasks which others complete is suspended,
// whereas a job that fails everywhere affects no agent's health state.
//
// A suspended agent gets work again through a trial: a single task, which runs nowhere else.
//
// The package does no I/O, reads no clock and starts no goroutine. A [Tracker] is not safe for
// concurrent use.
package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Options configures a Tracker. Zero fields take the defaults.
type Options struct {
	// FirstBackoff is how long the first suspension lasts. Each failed trial doubles it, up to
	// MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// MaxSuspended is the largest share of the agents that may be suspended. Beyond it, what
	// looks like many bad workers has a common cause, and suspending more of them would only
	// lose capacity.
	MaxSuspended float64
	// MaxKinds is the maximum number of pairs of contract and kind that are compared.
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
	// smoothingFactor is the weight of a new result in the moving averages.
	smoothingFactor = 0.25
	// suspendFailureRate is the failure rate above that of the others at which an agent is
	// suspended: three failures in a row while others complete everything.
	suspendFailureRate = 0.5
	// suspendSlowness is how many times slower than others an agent must be to be suspended.
	suspendSlowness = 6
	maxSlowness     = 20
	// uncomparedPenalty is how much slower an agent is rated while all its results are failures
	// that can't be compared with anything. It sends the next task of the kind to another
	// agent, which makes a comparison possible.
	uncomparedPenalty = 4
	// peersPerKind bounds the agents compared on one kind.
	peersPerKind = 32
)

// Result is the end of a task. Tasks that a caller cancelled are no results.
type Result struct {
	Contract, Kind string
	// Failed means that the endpoint failed the task, or that the task was lost there or
	// exceeded its deadline.
	Failed bool
	Run    time.Duration
}

type kindKey struct{ contract, kind string }

// peer holds one agent's results on one kind.
type peer struct {
	agent       string
	failureRate float64
	// run is the mean run time of completed tasks in seconds; zero if there are none.
	run        float64
	lastReport time.Time
}

type kindTable struct {
	peers      []peer
	lastReport time.Time
}

type agent struct {
	// excessFailures is the failure rate above that of other agents.
	excessFailures float64
	// uncomparedFailures is the failure rate while there was no other agent to compare with.
	uncomparedFailures float64
	// logSlowness is the mean logarithm of the ratio of the run time to that of other agents.
	logSlowness    float64
	state          place.HealthState
	suspendedUntil time.Time
	backoff        time.Duration
}

// Tracker tracks the health state of agents. Use [New].
type Tracker struct {
	options   Options
	agents    map[string]*agent
	kinds     map[kindKey]*kindTable
	suspended int
}

// New returns a Tracker without agents.
func New(options Options) *Tracker {
	options.FirstBackoff = cmp.Or(options.FirstBackoff, DefaultFirstBackoff)
	options.MaxBackoff = cmp.Or(options.MaxBackoff, DefaultMaxBackoff)
	options.MaxSuspended = cmp.Or(options.MaxSuspended, DefaultMaxSuspended)
	options.MaxKinds = cmp.Or(options.MaxKinds, DefaultMaxKinds)
	return &Tracker{options: options, agents: make(map[string]*agent), kinds: make(map[kindKey]*kindTable)}
}

// Add adds an agent. If an agent process was restarted, call Remove first, so that it starts
// without history.
func (j *Tracker) Add(name string) {
	if j.agents[name] == nil {
		j.agents[name] = &agent{backoff: j.options.FirstBackoff}
	}
}

// Remove removes an agent.
func (j *Tracker) Remove(name string) {
	a := j.agents[name]
	if a == nil {
		return
	}
	j.setState(a, place.Healthy)
	delete(j.agents, name)
	for _, table := range j.kinds {
		table.peers = slices.DeleteFunc(table.peers, func(p peer) bool { return p.agent == name })
	}
}

// State returns the health state of an agent, which limits the work it may get at a time. A
// suspension that has expired becomes a trial.
func (j *Tracker) State(name string, now time.Time) place.HealthState {
	a := j.agents[name]
	if a == nil {
		return place.Healthy
	}
	if a.state == place.Suspended && !now.Before(a.suspendedUntil) {
		j.setState(a, place.Trial)
	}
	return a.state
}

// Slowness returns how many times longer a task is expected to take than on other agents; 1 is
// usual.
func (j *Tracker) Slowness(name string) float64 {
	a := j.agents[name]
	if a == nil {
		return 1
	}
	slowness := math.Exp(a.logSlowness) * (1 + uncomparedPenalty*a.uncomparedFailures)
	return min(max(slowness, 1/float64(maxSlowness)), maxSlowness)
}

// Report records the end of a task at an agent. It returns whether the agent's health state
// changed.
func (j *Tracker) Report(name string, r Result, now time.Time) bool {
	a := j.agents[name]
	if a == nil {
		return false
	}
	table := j.table(kindKey{r.Contract, r.Kind}, now)
	before := a.state
	j.evaluate(a, table.others(name), r, now)
	table.record(name, r, now)
	return a.state != before
}

// peerStats summarizes the results of the other agents on a kind.
type peerStats struct {
	known       bool
	failureRate float64
	run         float64
}

func (j *Tracker) evaluate(a *agent, o peerStats, r Result, now time.Time) {
	if !o.known {
		if a.state == place.Trial && !r.Failed {
			j.endTrial(a)
		}
		a.uncomparedFailures += smoothingFactor * (toFloat(r.Failed) - a.uncomparedFailures)
		return
	}
	a.uncomparedFailures *= 1 - smoothingFactor
	excess := max(toFloat(r.Failed)-o.failureRate, 0)
	a.excessFailures += smoothingFactor * (excess - a.excessFailures)
	slow := false
	if !r.Failed && o.run > 0 && r.Run > 0 {
		ratio := r.Run.Seconds() / o.run
		limited := min(max(ratio, 1/float64(maxSlowness)), maxSlowness)
		a.logSlowness += smoothingFactor * (math.Log(limited) - a.logSlowness)
		slow = ratio > suspendSlowness
	}
	switch {
	case a.state == place.Trial && (excess >= suspendFailureRate || slow):
		a.backoff = min(2*a.backoff, j.options.MaxBackoff)
		j.suspend(a, now)
	case a.state == place.Trial && !r.Failed:
		j.endTrial(a)
	case a.state == place.Healthy && (a.excessFailures >= suspendFailureRate || a.logSlowness >= math.Log(suspendSlowness)):
		j.suspend(a, now)
	}
}

func (j *Tracker) suspend(a *agent, now time.Time) {
	if a.state == place.Healthy && float64(j.suspended+1) > j.options.MaxSuspended*float64(len(j.agents)) {
		return
	}
	j.setState(a, place.Suspended)
	a.suspendedUntil = now.Add(a.backoff)
}

// endTrial ends a successful trial. The averages that led to the suspension are halved, so that
// the agent is suspended again sooner if the success was luck.
func (j *Tracker) endTrial(a *agent) {
	j.setState(a, place.Healthy)
	a.backoff = j.options.FirstBackoff
	a.excessFailures /= 2
	a.logSlowness /= 2
}

// setState sets the health state of an agent. Agents on trial are counted as suspended, since
// they take no significant share of the load.
func (j *Tracker) setState(a *agent, to place.HealthState) {
	if a.state == place.Healthy && to != place.Healthy {
		j.suspended++
	}
	if a.state != place.Healthy && to == place.Healthy {
		j.suspended--
	}
	a.state = to
}

func (j *Tracker) table(key kindKey, now time.Time) *kindTable {
	table := j.kinds[key]
	if table == nil {
		if len(j.kinds) >= j.options.MaxKinds {
			j.evictOldestKind()
		}
		table = &kindTable{}
		j.kinds[key] = table
	}
	table.lastReport = now
	return table
}

func (j *Tracker) evictOldestKind() {
	var oldest kindKey
	var table *kindTable
	for key, t := range j.kinds {
		if table == nil || t.lastReport.Before(table.lastReport) {
			oldest, table = key, t
		}
	}
	delete(j.kinds, oldest)
}

// others returns the medians of the other agents' results, so that a few bad agents do not
// shift the comparison.
func (t *kindTable) others(name string) peerStats {
	var failures, runs [peersPerKind]float64
	n, timed := 0, 0
	for i := range t.peers {
		p := &t.peers[i]
		if p.agent == name {
			continue
		}
		failures[n] = p.failureRate
		n++
		if p.run > 0 {
			runs[timed] = p.run
			timed++
		}
	}
	return peerStats{known: n > 0, failureRate: median(failures[:n]), run: median(runs[:timed])}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func (t *kindTable) record(name string, r Result, now time.Time) {
	pos := slices.IndexFunc(t.peers, func(p peer) bool { return p.agent == name })
	if pos < 0 {
		pos = t.slot(name)
		t.peers[pos] = peer{agent: name, failureRate: toFloat(r.Failed)}
	}
	p := &t.peers[pos]
	p.lastReport = now
	p.failureRate += smoothingFactor * (toFloat(r.Failed) - p.failureRate)
	switch run := r.Run.Seconds(); {
	case r.Failed || run <= 0:
	case p.run == 0:
		p.run = run
	default:
		p.run += smoothingFactor * (run - p.run)
	}
}

// slot returns the index for a new agent. If the table is full, it is that of the agent whose
// results are oldest.
func (t *kindTable) slot(name string) int {
	if len(t.peers) < peersPerKind {
		t.peers = append(t.peers, peer{agent: name})
		return len(t.peers) - 1
	}
	oldest := 0
	for i := range t.peers {
		if t.peers[i].lastReport.Before(t.peers[oldest].lastReport) {
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
