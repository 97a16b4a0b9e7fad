package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// Profile describes one user's site and the load on it.
type Profile struct {
	Name           string
	FailureDomains []string
	Workers        int
	WorkersPerRack int
	Cores          uint32
	MemoryBytes    uint64
	Slots          uint32
	Connections    uint32
	// Delay is the one-way network delay between processes, CallerDelay that
	// between callers and entries.
	Delay, CallerDelay time.Duration
	// Entries is the number of entries behind the load balancer.
	Entries int
	// Preset is the user's trade-off between response time and message count.
	Preset  preset.Preset
	Streams []Stream
}

// Stream is the load of one contract and task kind.
type Stream struct {
	Contract *pb.Contract
	Kind     string
	// Share of the offered task time; the shares of a profile add up to 1.
	Share float64
	// MaxTasks is the maximum number of tasks in a job; most jobs are far smaller.
	MaxTasks int
	// MemoryBytes is the median memory of a task.
	MemoryBytes uint64
	Timeout     time.Duration
}

// Distribution of task run times and job sizes: most tasks take 50 ms to 1 s and a
// few take several seconds; most jobs are small.
const (
	shortestTask   = 50 * time.Millisecond
	longestShort   = time.Second
	longShare      = 0.02
	shortestLong   = 2 * time.Second
	longestLong    = 5 * time.Second
	smallJobShare  = 0.70
	middleJobShare = 0.25
	largeJobShare  = 0.045
	smallJob       = 4
	middleJob      = 20
	largeJob       = 60
	// A fraction misdeclaredShare of the tasks declares a memory size and run time
	// that are wrong by a factor of misdeclaredFactor.
	misdeclaredShare  = 0.15
	misdeclaredFactor = 8
)

// Each burstInterval begins with a burst: the arrival rate is multiplied by
// burstFactor for burstDuration.
const (
	burstInterval = 7 * time.Second
	burstDuration = 500 * time.Millisecond
	burstFactor   = 2.5
)

// noisyFactor is the factor by which a noisy contract exceeds its share.
const noisyFactor = 10

const mebibyte = 1 << 20

func contract(name string, class pb.Class, weight uint32, concurrency uint32) *pb.Contract {
	return &pb.Contract{
		Name: name, Class: class, Weight: weight, Rate: 2000, Burst: 2000, Concurrency: concurrency,
		MemoryBytes: 1 << 40, Waiting: 5000, DefaultTimeoutMs: 30_000,
	}
}

// Cadwaladr returns the profile of the specimen-desk service at Deeside.
func Cadwaladr() Profile {
	return Profile{
		Name: "cadwaladr", FailureDomains: []string{"frame-hall", "chain-shed", "creep-room"},
		Workers: 11, WorkersPerRack: 3, Cores: 16, MemoryBytes: 32 << 30, Slots: 8, Connections: 64, Entries: 3, Preset: preset.Response(),
		Delay: time.Millisecond, CallerDelay: time.Millisecond,
		Streams: []Stream{
			{Contract: contract("break-reports", pb.Class_CLASS_URGENT, 4, 88), Kind: "break-report", Share: 0.3, MaxTasks: 20, MemoryBytes: 600 * mebibyte, Timeout: 20 * time.Second},
			{Contract: contract("gauge-checks", pb.Class_CLASS_NORMAL, 2, 88), Kind: "gauge-check", Share: 0.5, MaxTasks: 160, MemoryBytes: 400 * mebibyte, Timeout: 30 * time.Second},
			{Contract: contract("certificate-stamps", pb.Class_CLASS_NORMAL, 2, 88), Kind: "stamp", Share: 0.2, MaxTasks: 20, MemoryBytes: 300 * mebibyte, Timeout: 30 * time.Second},
		},
	}
}

// Hilvana returns the profile of Trama, the shared platform in Santiago.
func Hilvana() Profile {
	return Profile{
		Name: "hilvana", FailureDomains: []string{"quilicura", "maipu", "la-florida"},
		Workers: 11, WorkersPerRack: 3, Cores: 64, MemoryBytes: 128 << 30, Slots: 8, Connections: 64, Entries: 3, Preset: preset.Messages(),
		Delay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Streams: []Stream{
			{Contract: contract("pickups", pb.Class_CLASS_URGENT, 4, 88), Kind: "pickup", Share: 0.35, MaxTasks: 20, MemoryBytes: 400 * mebibyte, Timeout: 20 * time.Second},
			{Contract: contract("grades", pb.Class_CLASS_NORMAL, 2, 88), Kind: "grade", Share: 0.45, MaxTasks: 160, MemoryBytes: 1500 * mebibyte, Timeout: 30 * time.Second},
			{Contract: contract("donations", pb.Class_CLASS_BULK, 1, 88), Kind: "donation", Share: 0.2, MaxTasks: 60, MemoryBytes: 300 * mebibyte, Timeout: 30 * time.Second},
		},
	}
}

// ProfileByName returns the profile with the given name, or false if there is none.
func ProfileByName(name string) (Profile, bool) {
	for _, p := range []Profile{Cadwaladr(), Hilvana()} {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

func (p Profile) has(contract string) bool {
	return slices.ContainsFunc(p.Streams, func(s Stream) bool { return s.Contract.Name == contract })
}

// limited returns a copy of the profile in which the concurrency of one contract is
// limited to the share of the slots that its load needs when it is not noisy.
func (p Profile) limited(name string, load float64) Profile {
	p.Streams = slices.Clone(p.Streams)
	for i := range p.Streams {
		s := &p.Streams[i]
		if s.Contract.Name == name {
			s.Contract = proto.Clone(s.Contract).(*pb.Contract)
			s.Contract.Concurrency = uint32(math.Ceil(load * s.Share * p.Capacity()))
		}
	}
	return p
}

// Capacity returns the task time that the site can run per second, which is its
// number of slots.
func (p Profile) Capacity() float64 { return float64(p.Workers) * float64(p.Slots) }

// TaskPlan holds the actual resource use of one task, and the declared one.
type TaskPlan struct {
	Run              time.Duration
	MemoryBytes      uint64
	DeclaredRun      time.Duration
	DeclaredMemory   uint64
	CPUMillis        uint32
	DeclaredCPUMilli uint32
}

// JobPlan is one planned job; At is its offset from the start of the load.
type JobPlan struct {
	At     time.Duration
	Stream int
	Tasks  []TaskPlan
}

// Plan generates the arrivals of a run, ordered by time. The load is the offered
// task time over the site's capacity. The noisy contract, if any, offers
// noisyFactor times its share; the arrivals of the other contracts don't depend on
// it.
func (p Profile) Plan(seed uint64, load float64, length time.Duration, noisy string) []JobPlan {
	var plan []JobPlan
	for i, s := range p.Streams {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		perSecond := load * p.Capacity() * s.Share / (meanTasks(s.MaxTasks) * meanTaskSeconds())
		if s.Contract.Name == noisy {
			perSecond *= noisyFactor
		}
		// Bursts raise the mean rate, so the base rate is lowered to compensate.
		base := perSecond / (1 + (burstFactor-1)*burstDuration.Seconds()/burstInterval.Seconds())
		for at := time.Duration(0); ; {
			rate := base
			if at%burstInterval < burstDuration {
				rate *= burstFactor
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= length {
				break
			}
			plan = append(plan, JobPlan{At: at, Stream: i, Tasks: s.tasks(rng)})
		}
	}
	sortPlan(plan)
	return plan
}

func (s Stream) tasks(rng *rand.Rand) []TaskPlan {
	tasks := make([]TaskPlan, min(jobSize(rng.Float64(), rng.Float64()), s.MaxTasks))
	for i := range tasks {
		tasks[i] = s.task(rng)
	}
	return tasks
}

// jobSize returns a number of tasks: u, from 0 to 1, selects the size class, and v
// the size within it.
func jobSize(u, v float64) int {
	lo, hi := largeJob+1, 160
	switch {
	case u < smallJobShare:
		lo, hi = 1, smallJob
	case u < smallJobShare+middleJobShare:
		lo, hi = smallJob+1, middleJob
	case u < smallJobShare+middleJobShare+largeJobShare:
		lo, hi = middleJob+1, largeJob
	}
	return lo + int(v*float64(hi-lo+1))
}

func meanTasks(limit int) float64 {
	const steps = 200
	total := 0
	for i := range steps {
		for j := range steps {
			total += min(jobSize((float64(i)+0.5)/steps, (float64(j)+0.5)/steps), limit)
		}
	}
	return float64(total) / (steps * steps)
}

func (s Stream) task(rng *rand.Rand) TaskPlan {
	run := logUniform(rng, shortestTask, longestShort)
	if rng.Float64() < longShare {
		run = logUniform(rng, shortestLong, longestLong)
	}
	t := TaskPlan{
		Run: run.Truncate(time.Millisecond), MemoryBytes: uint64(float64(s.MemoryBytes) * math.Exp(rng.NormFloat64()*0.3)),
		CPUMillis: 1000,
	}
	t.DeclaredRun, t.DeclaredMemory, t.DeclaredCPUMilli = t.Run, t.MemoryBytes, t.CPUMillis
	if rng.Float64() < misdeclaredShare {
		if rng.Float64() < 0.5 {
			t.DeclaredRun, t.DeclaredMemory = t.Run*misdeclaredFactor, t.MemoryBytes*misdeclaredFactor
		} else {
			t.DeclaredRun, t.DeclaredMemory = t.Run/misdeclaredFactor, t.MemoryBytes/misdeclaredFactor
		}
	}
	return t
}

func logUniform(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return time.Duration(float64(lo) * math.Exp(rng.Float64()*math.Log(float64(hi)/float64(lo))))
}

// meanTaskSeconds returns the mean of the run times that Stream.task generates.
func meanTaskSeconds() float64 {
	mean := func(lo, hi time.Duration) float64 {
		return (hi - lo).Seconds() / math.Log(float64(hi)/float64(lo))
	}
	return (1-longShare)*mean(shortestTask, longestShort) + longShare*mean(shortestLong, longestLong)
}
