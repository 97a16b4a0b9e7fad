package metrics

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Contract holds the series of one contract at an entry.
type Contract struct {
	// Offered counts the jobs that callers submitted, resubmissions excepted.
	Offered *Tally
	// Served counts the jobs answered completely.
	Served *Tally
	// Failed counts the jobs of which tasks ran and that were not completed.
	Failed prometheus.Counter
	// Unknown counts the jobs answered "outcome unknown".
	Unknown prometheus.Counter
	// TasksStarted counts the tasks sent to agents.
	TasksStarted *Tally

	refused map[jobs.Code]*Tally
	ratio   prometheus.Observer
}

// Tally is a counter that the process can read itself, for its status.
type Tally struct {
	counter prometheus.Counter
	value   atomic.Uint64
}

// Add counts n.
func (t *Tally) Add(n int) {
	t.value.Add(uint64(n))
	t.counter.Add(float64(n))
}

// Value returns the count since the process started.
func (t *Tally) Value() uint64 { return t.value.Load() }

// RefusedCounts returns the codes with which jobs were refused, in the order of
// their names, and how often.
func (c *Contract) RefusedCounts() []*pb.RefusedCount {
	var counts []*pb.RefusedCount
	for _, code := range slices.Sorted(maps.Keys(c.refused)) {
		if n := c.refused[code].Value(); n > 0 {
			counts = append(counts, &pb.RefusedCount{Code: string(code), Count: n})
		}
	}
	return counts
}

// Refused counts a job answered "not run".
func (c *Contract) Refused(code jobs.Code) {
	if counter, ok := c.refused[code]; ok {
		counter.Add(1)
		return
	}
	c.refused[otherCode].Add(1)
}

// Response observes a served job: the time from its arrival to its answer,
// over ideal, the longest run time of its tasks. Jobs without a run time are
// not observed.
func (c *Contract) Response(response, ideal time.Duration) {
	if ideal > 0 {
		c.ratio.Observe(float64(response) / float64(ideal))
	}
}

// ratioBuckets of response over ideal; 1 can't be beaten.
var ratioBuckets = []float64{1.01, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30, 100}

type contractVecs struct {
	offered, served, failed, unknown, started, refused *prometheus.CounterVec
	ratio                                              *prometheus.HistogramVec
}

func newContractVecs(f factory) contractVecs {
	const label = "contract"
	return contractVecs{
		offered: f.counterVec("jobs_offered_total", "Jobs submitted.", label),
		served:  f.counterVec("jobs_served_total", "Jobs answered completely.", label),
		failed:  f.counterVec("jobs_failed_total", "Jobs that ran and were not completed.", label),
		unknown: f.counterVec("jobs_unknown_total", "Jobs answered with outcome unknown.", label),
		started: f.counterVec("tasks_dispatched_total", "Tasks sent to agents.", label),
		refused: f.counterVec("jobs_refused_total", "Jobs answered as not run.", label, "reason"),
		ratio:   f.histogramVec("job_response_ratio", "Response time over ideal of served jobs.", ratioBuckets, label),
	}
}

func (v contractVecs) resolve(name string) *Contract {
	c := &Contract{
		Offered:      &Tally{counter: v.offered.WithLabelValues(name)},
		Served:       &Tally{counter: v.served.WithLabelValues(name)},
		Failed:       v.failed.WithLabelValues(name),
		Unknown:      v.unknown.WithLabelValues(name),
		TasksStarted: &Tally{counter: v.started.WithLabelValues(name)},
		refused:      make(map[jobs.Code]*Tally),
		ratio:        v.ratio.WithLabelValues(name),
	}
	for _, code := range refusalCodes {
		c.refused[code] = &Tally{counter: v.refused.WithLabelValues(name, string(code))}
	}
	c.refused[otherCode] = &Tally{counter: v.refused.WithLabelValues(name, otherCode)}
	return c
}

func (v contractVecs) remove(name string) {
	label := prometheus.Labels{"contract": name}
	for _, vec := range []*prometheus.CounterVec{v.offered, v.served, v.failed, v.unknown, v.started, v.refused} {
		vec.DeletePartialMatch(label)
	}
	v.ratio.DeletePartialMatch(label)
}

// contractCache is read without locks and replaced whole by writers.
type contractCache struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*Contract]
}

func (c *contractCache) load() map[string]*Contract {
	if m := c.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// Contract returns the series of a contract of the configuration. Other names
// share the series of OtherContract: a caller that sends made-up names must not
// be able to fill the memory of the process and of whatever scrapes it.
func (e *Entry) Contract(name string) *Contract {
	if c, ok := e.contracts.load()[name]; ok {
		return c
	}
	return e.otherContract
}

// ContractNames returns the contracts with series of their own, by name.
func (e *Entry) ContractNames() []string { return slices.Sorted(maps.Keys(e.contracts.load())) }

// AddContract resolves the series of a contract that came into force; without
// effect for one that has them.
func (e *Entry) AddContract(name string) {
	if _, ok := e.contracts.load()[name]; ok {
		return
	}
	e.contracts.mu.Lock()
	defer e.contracts.mu.Unlock()
	old := e.contracts.load()
	if _, ok := old[name]; ok || len(old) >= MaxContracts || name == OtherContract {
		return
	}
	next := make(map[string]*Contract, len(old)+1)
	maps.Copy(next, old)
	next[name] = e.contractVecs.resolve(name)
	e.contracts.byName.Store(&next)
}

// RemoveContract drops the series of a contract that was deleted.
func (e *Entry) RemoveContract(name string) {
	e.contracts.mu.Lock()
	defer e.contracts.mu.Unlock()
	next := maps.Clone(e.contracts.load())
	if _, ok := next[name]; !ok {
		return
	}
	delete(next, name)
	e.contracts.byName.Store(&next)
	e.contractVecs.remove(name)
}
