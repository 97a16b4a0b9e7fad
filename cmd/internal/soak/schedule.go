package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Size is how big a site is, and what it is asked to do.
type Size struct {
	Name             string
	Entries, Workers int
	JobsPerSecond    float64
}

// Sizes by name. In a fleet agents are linked to some of the entries only. Large is a few hundred processes and relays, on addresses of one
// network of 254.
var sizes = []Size{
	{"small", 2, 3, 15},
	{"usual", 3, 8, 40},
	{"fleet", 20, 30, 60},
	{"large", 12, 150, 250},
}

// SizeByName finds a size.
func SizeByName(name string) (Size, bool) {
	i := slices.IndexFunc(sizes, func(s Size) bool { return s.Name == name })
	if i < 0 {
		return Size{}, false
	}
	return sizes[i], true
}

// Kind is what an action does.
type Kind string

// Kinds of actions. Those on processes name an entry or an agent by its index.
const (
	StopProcess  Kind = "stop_process" // planned: SIGTERM, then a new process
	KillProcess  Kind = "kill_process"
	PauseProcess Kind = "pause_process" // SIGSTOP, then SIGCONT
	KillAll      Kind = "kill_all"

	CrashWorker Kind = "crash_worker" // and a new life
	DrainWorker Kind = "drain_worker" // it says that it leaves; then a new life
	FailRuns    Kind = "fail_runs"    // each run on the worker fails
	StallRuns   Kind = "stall_runs"   // runs begin and don't end
	LoseCalls   Kind = "lose_calls"   // calls to the worker, or their answers, are lost

	ResizeWorker Kind = "resize_worker" // its capacity halves, and comes back

	StoreFails   Kind = "store_fails" // in the way that Arg names
	ForgetChange Kind = "store_forgets_changes"

	HoldLink  Kind = "hold_link" // bytes are delivered late
	ResetLink Kind = "reset_link"
	SlowLink  Kind = "slow_link"

	NewVersion    Kind = "new_version"
	OldVersion    Kind = "old_version"        // an operator writes an older one again
	NoVersion     Kind = "unreadable_version" // bytes that are no configuration
	SameTimeWrite Kind = "versions_race"      // several versions at once, not in order

	EvacuateDomain Kind = "evacuate_domain" // that of Worker; then it is restored
)

// Path is a link on which a relay stands.
type Path string

// Paths.
const (
	CallersToEntry Path = "callers_entry"
	NodesToEntry   Path = "nodes_entry"
	ProcessToStore Path = "process_store"
	AgentToWorker  Path = "agent_worker"
	WorkerToAgent  Path = "worker_agent"
)

// storeFaults is how many ways to fail the stand-in of the store has.
const storeFaults = 3

// Action is one thing that goes wrong, or that an operator does.
type Action struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for,omitempty"`
	Kind Kind          `json:"kind"`
	// Process is an index into entries followed by agents; Worker one into workers.
	Process int  `json:"process,omitempty"`
	Worker  int  `json:"worker,omitempty"`
	Path    Path `json:"path,omitempty"`
	// Arg is the store's fault, or the direction that is held.
	Arg int `json:"arg,omitempty"`
	// Every so many connections of a link are hit.
	Every int `json:"every,omitempty"`
	// Calm: it comes while nothing else is wrong, so that promises with a time
	// bound hold.
	Calm bool `json:"calm,omitempty"`
}

// Schedule is all that a seed decides.
type Schedule struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	Size     string        `json:"size"`
	Actions  []Action      `json:"actions"`
	// Calms are the spans without a fault, from which the first part is for
	// getting over the last ones.
	Calms []Span `json:"calms"`
}

// Span is a stretch of time.
type Span struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// Times of a schedule.
const (
	// warmUp is for starting all processes.
	warmUp = 3 * time.Second
	// recovery is how long after the last fault all must be well again.
	recovery = 6 * time.Second
	// calmLength leaves room for a change in a calm span to be in force.
	calmLength = recovery + 4*time.Second
	// stormLength is the longest stretch of faults between calm spans.
	stormLength = 12 * time.Second
	// evacuation is how long a domain is evacuated in a calm span: longer than the word
	// may take.
	evacuation = configurationBound + 1500*time.Millisecond
	// faultLength is the longest time that one fault goes on.
	faultLength = 3 * time.Second
	// meanGap is between two series of faults on the usual size; larger sites get
	// more, as each process has its own.
	meanGap = 700 * time.Millisecond
	// minGap keeps most of a large site at work. With 27 series a second at 162
	// processes, held links and those dialled in their place took 20,000 files.
	minGap = 200 * time.Millisecond
)

// Plan makes the schedule of a seed: storms, calm spans with one change each, and
// at the end a calm span after which all must be served again.
// The error is of type ErrOptions.
func Plan(seed uint64, duration time.Duration, size Size) (Schedule, error) {
	if least := warmUp + stormLength/2 + calmLength; duration < least {
		return Schedule{}, ErrOptions.New("duration %v; the least is %v", duration, least)
	}
	p := planner{rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3)), size, Schedule{Seed: seed, Duration: duration, Size: size.Name}}
	at := warmUp
	for at+stormLength/2+calmLength <= duration {
		storm := stormLength/2 + p.upTo(stormLength/2)
		if at+storm+stormLength/2+2*calmLength > duration {
			// No room for another storm: this one goes on until the last calm span.
			storm = duration - calmLength - at
		}
		p.storm(at, at+storm)
		at += storm
		p.calm(at)
		at += calmLength
	}
	slices.SortStableFunc(p.s.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p.s, nil
}

type planner struct {
	rand *rand.Rand
	// evacuations are drawn apart, so that a seed's other actions don't hang on them.
	evacuations *rand.Rand
	// resizes likewise.
	resizes *rand.Rand
	size    Size
	s       Schedule
}

func (p *planner) upTo(d time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(d)))
}

func (p *planner) add(a Action) { p.s.Actions = append(p.s.Actions, a) }

// storm fills a span with series of faults, which overlap. Each ends within it.
func (p *planner) storm(from, to time.Duration) {
	gap := max(minGap, meanGap*time.Duration(sizes[1].Workers)/time.Duration(max(p.size.Workers, sizes[1].Workers)))
	for at := from; ; {
		at += time.Duration(p.rand.ExpFloat64() * float64(gap))
		if at >= to {
			break
		}
		p.series(at, to)
	}
	if p.rand.IntN(4) == 0 {
		p.add(Action{At: to - time.Millisecond, Kind: KillAll})
	}
	if p.resizes.IntN(2) == 0 {
		p.resize(from+time.Duration(p.resizes.Int64N(int64(to-from-2*time.Second))), false)
	}
	if p.evacuations.IntN(2) == 0 {
		at := from + time.Duration(p.evacuations.Int64N(int64(to-from)))
		p.evacuate(at, to-at, false)
	}
}

func (p *planner) evacuate(at, lasts time.Duration, calm bool) {
	p.add(Action{At: at, For: lasts, Kind: EvacuateDomain, Worker: p.evacuations.IntN(p.size.Workers), Calm: calm})
}

// resize halves a worker's capacity for a moment.
func (p *planner) resize(at time.Duration, calm bool) {
	p.add(Action{At: at, For: time.Second, Kind: ResizeWorker, Worker: p.resizes.IntN(p.size.Workers), Calm: calm})
}

// series is one fault, or the same some times over on the same target or others.
func (p *planner) series(at, to time.Duration) {
	a := p.fault()
	again := 1
	if p.rand.IntN(4) == 0 {
		again += 1 + p.rand.IntN(3)
	}
	same := p.rand.IntN(2) == 0
	for range again {
		a.At, a.For = at, min(50*time.Millisecond+p.upTo(faultLength), max(to-at, time.Millisecond))
		p.add(a)
		at += a.For/2 + p.upTo(time.Second)
		if at >= to {
			return
		}
		if !same {
			p.aim(&a)
		}
	}
}

// weighted is how often each kind comes.
var weighted = []struct {
	kind   Kind
	weight int
}{
	{StopProcess, 3}, {KillProcess, 4}, {PauseProcess, 4},
	{CrashWorker, 3}, {DrainWorker, 2}, {FailRuns, 2}, {StallRuns, 2}, {LoseCalls, 4},
	{StoreFails, 3}, {ForgetChange, 1},
	{HoldLink, 7}, {ResetLink, 3}, {SlowLink, 2},
	{NewVersion, 2}, {OldVersion, 1}, {NoVersion, 1}, {SameTimeWrite, 1},
}

func (p *planner) fault() Action {
	total := 0
	for _, w := range weighted {
		total += w.weight
	}
	n := p.rand.IntN(total)
	var a Action
	for _, w := range weighted {
		if n -= w.weight; n < 0 {
			a.Kind = w.kind
			break
		}
	}
	p.aim(&a)
	return a
}

// paths that links can fail on.
var paths = []Path{CallersToEntry, NodesToEntry, ProcessToStore, AgentToWorker, WorkerToAgent}

// aim chooses what an action hits.
func (p *planner) aim(a *Action) {
	a.Process = p.process()
	a.Worker = p.rand.IntN(p.size.Workers)
	switch a.Kind {
	case HoldLink, ResetLink, SlowLink:
		a.Path = paths[p.rand.IntN(len(paths))]
		a.Every, a.Arg = 1+p.rand.IntN(3), 1+p.rand.IntN(3)
		if a.Path == CallersToEntry || a.Path == NodesToEntry {
			a.Process = p.rand.IntN(p.size.Entries)
		}
	case StoreFails:
		a.Arg = 1 + p.rand.IntN(storeFaults)
	}
}

// process chooses an entry as often as an agent: there are far fewer of them.
func (p *planner) process() int {
	if p.rand.IntN(2) == 0 {
		return p.rand.IntN(p.size.Entries)
	}
	return p.size.Entries + p.rand.IntN(p.size.Workers)
}

// calm is a span in which, once the faults are got over, one planned thing is done.
func (p *planner) calm(from time.Duration) {
	p.s.Calms = append(p.s.Calms, Span{from, from + calmLength})
	kinds := []Kind{NewVersion, DrainWorker, StopProcess}
	a := Action{At: from + recovery, For: time.Second, Kind: kinds[p.rand.IntN(len(kinds))], Calm: true}
	p.aim(&a)
	p.add(a)
	if p.evacuations.IntN(2) == 0 {
		p.evacuate(from+recovery, evacuation, true)
	}
	if p.resizes.IntN(2) == 0 {
		p.resize(from+recovery, true)
	}
}

// calmAt reports whether nothing has been wrong for a while.
func (s *Schedule) calmAt(at time.Duration) bool {
	return slices.ContainsFunc(s.Calms, func(c Span) bool { return at >= c.From+recovery && at < c.To })
}

// ReadSchedule reads what Run kept.
func ReadSchedule(file string) (Schedule, error) {
	var s Schedule
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		return s, ErrOptions.Wrap(err, "schedule")
	}
	return s, nil
}
