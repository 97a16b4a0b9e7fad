package soak

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Size is the number of processes of a site and its load.
type Size struct {
	Name             string
	Entries, Workers int
	JobsPerSecond    float64
	// Speeds are those of the workers, in turn; empty means 1.
	Speeds []float64
}

// speed returns the speed of a worker.
func (s Size) speed(worker int) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[worker%len(s.Speeds)]
}

// sizes lists the sizes by name. In a fleet, agents are linked to a subset of the
// entries only. Large has a few hundred processes and relays, on addresses of one
// network of 254.
var sizes = []Size{
	{"small", 2, 3, 15, nil},
	{"usual", 3, 8, 40, []float64{1, 0.6, 1.6}},
	{"fleet", 20, 30, 60, nil},
	{"large", 12, 150, 250, nil},
}

// SizeByName returns the size with the given name.
func SizeByName(name string) (Size, bool) {
	i := slices.IndexFunc(sizes, func(s Size) bool { return s.Name == name })
	if i < 0 {
		return Size{}, false
	}
	return sizes[i], true
}

// Kind is the kind of an action.
type Kind string

// Kinds of actions. Those on processes select an entry or an agent by its index.
const (
	StopProcess  Kind = "stop_process" // planned: SIGTERM, then a restart
	KillProcess  Kind = "kill_process"
	PauseProcess Kind = "pause_process" // SIGSTOP, then SIGCONT
	KillAll      Kind = "kill_all"

	CrashWorker Kind = "crash_worker" // then restart it
	DrainWorker Kind = "drain_worker" // drain it, then restart it
	FailRuns    Kind = "fail_runs"    // each run on the worker fails
	StallRuns   Kind = "stall_runs"   // runs start and don't end
	LoseCalls   Kind = "lose_calls"   // calls to the worker, or their responses, are lost

	// AnswerOddly has a worker answer calls that it has carried out in the form that Arg selects.
	AnswerOddly Kind = "answer_oddly"

	ResizeWorker Kind = "resize_worker" // its capacity is halved for a while

	StoreFails    Kind = "store_fails" // Arg selects the fault
	ForgetChanges Kind = "store_forgets_changes"

	HoldLink   Kind = "hold_link" // bytes are delivered late
	ResetLink  Kind = "reset_link"
	SlowLink   Kind = "slow_link"
	RefuseLink Kind = "refuse_link" // connections are reset and new ones refused

	NewVersion        Kind = "new_version"
	OldVersion        Kind = "old_version"        // an operator writes an older version again
	UnreadableVersion Kind = "unreadable_version" // bytes that are not a configuration
	RacingVersions    Kind = "versions_race"      // several versions at once, out of order

	EvacuateDomain Kind = "evacuate_domain" // the domain of Worker, for a while
)

// Path is a link that passes through a relay.
type Path string

// Paths.
const (
	CallersToEntry Path = "callers_entry"
	NodesToEntry   Path = "nodes_entry"
	ProcessToStore Path = "process_store"
	AgentToWorker  Path = "agent_worker"
	WorkerToAgent  Path = "worker_agent"
)

// storeFaults is the number of faults that the stand-in store supports, and oddAnswers that of the
// odd answers of a stand-in worker.
const (
	storeFaults = 3
	oddAnswers  = 2
)

// Action is a fault or an operator's action.
type Action struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for,omitempty"`
	Kind Kind          `json:"kind"`
	// Process is an index into entries followed by agents; Worker is an index into
	// workers.
	Process int  `json:"process,omitempty"`
	Worker  int  `json:"worker,omitempty"`
	Path    Path `json:"path,omitempty"`
	// Arg is the fault of the store, the form of answers, or the direction that is held.
	Arg int `json:"arg,omitempty"`
	// Every n-th connection of a link is affected.
	Every int `json:"every,omitempty"`
	// Calm is set if no fault is present, so that promises with a time bound apply.
	Calm bool `json:"calm,omitempty"`
}

// Schedule is everything that a seed determines.
type Schedule struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	Size     string        `json:"size"`
	Actions  []Action      `json:"actions"`
	// Calms are the spans without faults. The first part of each is for recovery.
	Calms []Span `json:"calms"`
}

// Span is a time interval.
type Span struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// Times of a schedule.
const (
	// warmUp is the time for starting all processes.
	warmUp = 3 * time.Second
	// recoveryTime is the time after the last fault within which everything must
	// work again.
	recoveryTime = 6 * time.Second
	// calmSpanLength leaves time for a change in a calm span to take effect.
	calmSpanLength = recoveryTime + 4*time.Second
	// faultPeriodLength is the longest period of faults between calm spans.
	faultPeriodLength = 12 * time.Second
	// evacuationLength is how long a domain is evacuated in a calm span. It exceeds
	// the time in which entries must apply the evacuation.
	evacuationLength = configurationBound + 1500*time.Millisecond
	// maxFaultLength is the longest duration of one fault.
	maxFaultLength = 3 * time.Second
	// minRefusalLength and maxRefusalLength bound how long a link refuses connections.
	minRefusalLength = 25 * time.Millisecond
	maxRefusalLength = 2 * time.Second
	// meanOddAnswersGap is the mean time between two spans of odd answers at the usual size, and
	// maxOddAnswersLength bounds their length.
	meanOddAnswersGap   = 1500 * time.Millisecond
	maxOddAnswersLength = 400 * time.Millisecond
	// meanRefusalGap is the mean time between two series of refusals at the usual size.
	meanRefusalGap = 1500 * time.Millisecond
	// meanSeriesGap is the mean time between two series of faults at the usual size.
	// Larger sites get more faults, in proportion to their workers.
	meanSeriesGap = 700 * time.Millisecond
	// minSeriesGap keeps most of a large site running. With 27 series a second at 162
	// processes, held links and their replacements used 20,000 file descriptors.
	minSeriesGap = 200 * time.Millisecond
)

// Plan returns the schedule of a seed: periods of faults that alternate with calm
// spans in which single changes are made, and a final calm span by whose end jobs
// must be served again. The error is of type ErrOptions.
func Plan(seed uint64, duration time.Duration, size Size) (Schedule, error) {
	if least := warmUp + faultPeriodLength/2 + calmSpanLength; duration < least {
		return Schedule{}, ErrOptions.New("duration %v; the minimum is %v", duration, least)
	}
	p := planner{rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4)), rand.New(rand.NewPCG(seed, 5)), size, Schedule{Seed: seed, Duration: duration, Size: size.Name}}
	at := warmUp
	for at+faultPeriodLength/2+calmSpanLength <= duration {
		length := faultPeriodLength/2 + p.randomDuration(faultPeriodLength/2)
		if at+length+faultPeriodLength/2+2*calmSpanLength > duration {
			// No time for another fault period: extend this one to the last calm span.
			length = duration - calmSpanLength - at
		}
		p.faultPeriod(at, at+length)
		at += length
		p.calmSpan(at)
		at += calmSpanLength
	}
	slices.SortStableFunc(p.schedule.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p.schedule, nil
}

type planner struct {
	rand *rand.Rand
	// evacuations has its own source, so that a seed's other actions don't depend
	// on it.
	evacuations *rand.Rand
	// resizes has its own source for the same reason.
	resizes *rand.Rand
	// refusals has its own source for the same reason.
	refusals *rand.Rand
	// answers has its own source for the same reason.
	answers  *rand.Rand
	size     Size
	schedule Schedule
}

func (p *planner) randomDuration(d time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(d)))
}

func (p *planner) add(a Action) { p.schedule.Actions = append(p.schedule.Actions, a) }

// faultPeriod fills a span with overlapping series of faults, all of which end
// within it.
func (p *planner) faultPeriod(from, to time.Duration) {
	gap := p.seriesGap(meanSeriesGap)
	for at := from; ; {
		at += time.Duration(p.rand.ExpFloat64() * float64(gap))
		if at >= to {
			break
		}
		p.faultSeries(at, to)
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
	p.refuseLinks(from, to)
	p.answerOddly(from, to)
}

// seriesGap scales the mean time between two series of faults to the size.
func (p *planner) seriesGap(usual time.Duration) time.Duration {
	return max(minSeriesGap, usual*time.Duration(sizes[1].Workers)/time.Duration(max(p.size.Workers, sizes[1].Workers)))
}

// refuseLinks adds series of up to three refusals, which may overlap.
func (p *planner) refuseLinks(from, to time.Duration) {
	r, gap := p.refusals, float64(p.seriesGap(meanRefusalGap))
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() * gap)
		if at >= to {
			return
		}
		a, same, next := p.refusal(), r.IntN(2) == 0, at
		for range 1 + r.IntN(3) {
			a.At, a.For = next, min(p.refusalLength(), max(to-next, time.Millisecond))
			p.add(a)
			next += time.Duration((0.5 + r.Float64()) * float64(a.For))
			if next >= to {
				break
			}
			if !same {
				a = p.refusal()
			}
		}
	}
}

// answerOddly adds spans in which a worker's answers are odd; they may overlap.
func (p *planner) answerOddly(from, to time.Duration) {
	r, gap := p.answers, float64(p.seriesGap(meanOddAnswersGap))
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() * gap)
		if at >= to {
			return
		}
		length := time.Millisecond + time.Duration(r.Int64N(int64(maxOddAnswersLength)))
		p.add(Action{At: at, For: min(length, max(to-at, time.Millisecond)), Kind: AnswerOddly, Worker: r.IntN(p.size.Workers), Arg: 1 + r.IntN(oddAnswers)})
	}
}

// refusalLength returns a length whose logarithm is uniformly distributed, so most
// are short.
func (p *planner) refusalLength() time.Duration {
	ratio := float64(maxRefusalLength) / float64(minRefusalLength)
	return time.Duration(float64(minRefusalLength) * math.Pow(ratio, p.refusals.Float64()))
}

// refusedPaths lists the paths that can refuse connections; a path is chosen as often
// as it is listed.
var refusedPaths = []Path{
	AgentToWorker, AgentToWorker, AgentToWorker, AgentToWorker, NodesToEntry, NodesToEntry,
	CallersToEntry, ProcessToStore, WorkerToAgent,
}

func (p *planner) refusal() Action {
	r := p.refusals
	a := Action{Kind: RefuseLink, Path: refusedPaths[r.IntN(len(refusedPaths))], Worker: r.IntN(p.size.Workers)}
	switch a.Path {
	case CallersToEntry, NodesToEntry:
		a.Process = r.IntN(p.size.Entries)
	case ProcessToStore:
		a.Process = r.IntN(p.size.Entries + p.size.Workers)
	}
	return a
}

func (p *planner) evacuate(at, lasts time.Duration, calm bool) {
	p.add(Action{At: at, For: lasts, Kind: EvacuateDomain, Worker: p.evacuations.IntN(p.size.Workers), Calm: calm})
}

// resize halves a worker's capacity for a moment.
func (p *planner) resize(at time.Duration, calm bool) {
	p.add(Action{At: at, For: time.Second, Kind: ResizeWorker, Worker: p.resizes.IntN(p.size.Workers), Calm: calm})
}

// faultSeries adds one fault, possibly repeated on the same target or on others.
func (p *planner) faultSeries(at, to time.Duration) {
	a := p.fault()
	again := 1
	if p.rand.IntN(4) == 0 {
		again += 1 + p.rand.IntN(3)
	}
	same := p.rand.IntN(2) == 0
	for range again {
		a.At, a.For = at, min(50*time.Millisecond+p.randomDuration(maxFaultLength), max(to-at, time.Millisecond))
		p.add(a)
		at += a.For/2 + p.randomDuration(time.Second)
		if at >= to {
			return
		}
		if !same {
			p.chooseTarget(&a)
		}
	}
}

// kindWeights is the relative frequency of each kind.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{StopProcess, 3}, {KillProcess, 4}, {PauseProcess, 4},
	{CrashWorker, 3}, {DrainWorker, 2}, {FailRuns, 2}, {StallRuns, 2}, {LoseCalls, 4},
	{StoreFails, 3}, {ForgetChanges, 1},
	{HoldLink, 7}, {ResetLink, 3}, {SlowLink, 2},
	{NewVersion, 2}, {OldVersion, 1}, {UnreadableVersion, 1}, {RacingVersions, 1},
}

func (p *planner) fault() Action {
	total := 0
	for _, w := range kindWeights {
		total += w.weight
	}
	n := p.rand.IntN(total)
	var a Action
	for _, w := range kindWeights {
		if n -= w.weight; n < 0 {
			a.Kind = w.kind
			break
		}
	}
	p.chooseTarget(&a)
	return a
}

// paths lists the paths on which links can fail.
var paths = []Path{CallersToEntry, NodesToEntry, ProcessToStore, AgentToWorker, WorkerToAgent}

// chooseTarget chooses the target of an action.
func (p *planner) chooseTarget(a *Action) {
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

// process chooses entries and agents with equal probability, although there are
// far fewer entries.
func (p *planner) process() int {
	if p.rand.IntN(2) == 0 {
		return p.rand.IntN(p.size.Entries)
	}
	return p.size.Entries + p.rand.IntN(p.size.Workers)
}

// calmSpan adds a span in which planned changes are made after the time for recovery.
func (p *planner) calmSpan(from time.Duration) {
	p.schedule.Calms = append(p.schedule.Calms, Span{from, from + calmSpanLength})
	kinds := []Kind{NewVersion, DrainWorker, StopProcess}
	a := Action{At: from + recoveryTime, For: time.Second, Kind: kinds[p.rand.IntN(len(kinds))], Calm: true}
	p.chooseTarget(&a)
	p.add(a)
	if p.evacuations.IntN(2) == 0 {
		p.evacuate(from+recoveryTime, evacuationLength, true)
	}
	if p.resizes.IntN(2) == 0 {
		p.resize(from+recoveryTime, true)
	}
}

// calmAt reports whether at is in a calm span, after its time for recovery.
func (s *Schedule) calmAt(at time.Duration) bool {
	return slices.ContainsFunc(s.Calms, func(c Span) bool { return at >= c.From+recoveryTime && at < c.To })
}

// ReadSchedule reads a schedule that Run has saved.
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
