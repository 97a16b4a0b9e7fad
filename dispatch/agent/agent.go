package agent

import (
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/limit"
	"github.com/papayahoist/papayahoist/dispatch/link"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Options configure an Agent.
type Options struct {
	// Hello names the agent and its worker's size.
	Hello *pb.AgentHello
	Link  link.Options
	// MaxRecords bounds the tasks the agent remembers, running ones included.
	MaxRecords int
	// MaxResultBytes bounds the results it keeps.
	MaxResultBytes int
	// FenceTTL is how long a fence holds; longer than any job may last.
	FenceTTL time.Duration
	// MaxFences bounds the fences held at once.
	MaxFences int
	// PeerLostAfter is when an entry without a link is taken for gone: a drain no
	// longer waits for it, and its results may be evicted. It should exceed the
	// entries' AgentLostAfter.
	PeerLostAfter time.Duration
	// Damping is how long an entry's credits must lie unused before they are
	// recalled for another that waits.
	Damping time.Duration
	// Divided gives each slot to one entry at a time, by credits that move between
	// entries, instead of offering all slots to every entry.
	Divided bool
	// MaxQueued, if it is not negative, bounds the units of each entry that wait for a slot unless Divided is set.
	MaxQueued int
	// LoadEvery is the least time between load reports on one link.
	LoadEvery time.Duration
	// Events takes what happens, for the time line, and stamps messages; nil: none.
	Events *event.Ring
}

// Defaults of Options.
const (
	DefaultMaxRecords     = 20_000
	DefaultMaxResultBytes = 64 << 20
	DefaultFenceTTL       = 30 * time.Minute
	DefaultMaxFences      = 50_000
	DefaultPeerLostAfter  = 15 * time.Second
	DefaultLoadEvery      = time.Second
	DefaultMaxQueued      = 1
	// maxHomes bounds the homes remembered for evicted records.
	maxHomes       = 4096
	DefaultDamping = 10 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Link = o.Link.WithDefaults()
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxResultBytes == 0 {
		o.MaxResultBytes = DefaultMaxResultBytes
	}
	if o.FenceTTL == 0 {
		o.FenceTTL = DefaultFenceTTL
	}
	if o.MaxFences == 0 {
		o.MaxFences = DefaultMaxFences
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.PeerLostAfter == 0 {
		o.PeerLostAfter = DefaultPeerLostAfter
	}
	if o.Damping == 0 {
		o.Damping = DefaultDamping
	}
	if o.LoadEvery == 0 {
		o.LoadEvery = DefaultLoadEvery
	}
	return o
}

// TaskRef names one task.
type TaskRef struct {
	Contract string
	Job      string // the id without the contract
	Task     uint32
}

// Run is a task to start at the endpoint.
type Run struct {
	TaskRef
	Kind     string
	Payload  []byte
	Deadline time.Time
}

// Out is a frame for one entry.
type Out struct {
	Entry string // incarnation
	Epoch uint64
	Frame *pb.AgentFrame
}

// Ready is what the driver must carry out, in any order.
type Ready struct {
	Frames []Out
	Run    []Run
	Stop   []TaskRef
	// Relink lists the entries (incarnations) whose link has gone silent.
	Relink []string
}

// Agent is the state of one endpoint's slots and tasks.
type Agent struct {
	opts Options

	peers []*peer            // in order of arrival, so that runs are repeatable
	jobs  map[string]*record // by job.Name
	// oldest ended jobs first, for eviction
	ended       []*record
	tasks       int // tasks in all records
	resultBytes int

	slots    slots
	queue    []queued // starts that wait for a slot, by class, oldest first
	running  int
	reserved uint64
	loads    map[string]*pb.ContractLoad

	fences     map[string]time.Time
	fenceOrder []string
	// evicted holds the homes with dropped records; unacked those of them that had
	// not acknowledged every result dropped.
	evicted, unacked homeSet

	// dropped counts the records evicted since the last Ready
	dropped int

	leaving bool
	ready   Ready
}

// peer is one entry process.
type peer struct {
	hello   *pb.EntryHello
	session link.Session
	downAt  time.Time // when the last link was lost
	lost    bool      // without a link for PeerLostAfter
	told    bool      // that the agent is leaving, on the link in use

	leaving    bool          // as last told, for operators
	out        pb.AgentFrame // content of the next frame
	dirty      bool
	unacked    []sentNews
	loadSentAt time.Time
}

// sentNews is the tasks whose results went out with frame seq.
type sentNews struct {
	seq   uint64
	tasks []*task
}

// record is what the agent knows of one job.
type record struct {
	name     string // job.Name
	contract string
	id       string
	home     string
	digest   uint64
	tasks    map[uint32]*task
	running  int
	open     int // tasks running or not acknowledged
	watchers []string
	listed   bool // in Agent.ended
}

type task struct {
	rec      *record
	index    uint32
	memory   uint64
	units    int            // slots that it takes
	queued   bool           // accepted, and not started yet
	result   *pb.TaskResult // nil while running
	acked    bool
	stopping bool
}

// New returns an Agent without links.
func New(opts Options) *Agent {
	opts = opts.withDefaults()
	return &Agent{
		opts:   opts,
		slots:  newSlots(opts),
		jobs:   make(map[string]*record),
		loads:  make(map[string]*pb.ContractLoad),
		fences: make(map[string]time.Time),
	}
}

// LinkUp takes in a new link. It returns the reason when the link is refused.
func (a *Agent) LinkUp(now time.Time, hello *pb.EntryHello) (refused string) {
	if hello.AgentIncarnation != a.opts.Hello.Incarnation {
		// A start meant for the process before this one must not run here: the
		// entry may have had it started there already.
		return "another incarnation of the agent"
	}
	p := a.peer(hello.Incarnation)
	if p == nil {
		a.forgetPeers()
		p = &peer{}
		a.peers = append(a.peers, p)
	} else if hello.Epoch <= p.session.Epoch() {
		// A connection that was slow to open after its successor: its starts are
		// older than what the entry knows now.
		return "older than the link in use"
	}
	p.hello = hello
	p.lost, p.told = false, false
	p.session.Up(now, hello.Epoch, a.opts.Link)
	a.recordPeer(now, event.LinkUp, p, "", hello.Epoch)
	a.slots.Link(hello.Incarnation, now)
	p.unacked = nil
	p.out = pb.AgentFrame{Hello: a.opts.Hello, Leaving: a.leaving}
	p.loadSentAt = time.Time{}
	p.dirty = true
	a.requeueResults(p)
	a.balance(now)
	return ""
}

// requeueResults puts every result the entry has not acknowledged on its new
// link: what was sent on the old one may never have arrived.
func (a *Agent) requeueResults(p *peer) {
	for _, rec := range a.sortedRecords(p.hello.Incarnation) {
		for _, t := range rec.sortedTasks() {
			if t.result != nil && !t.acked {
				a.addNews(p, rec.name, t.result)
			}
		}
	}
}

// LinkDown ends a link. Its credits return at once: starts that are still on
// their way on it will be dropped.
func (a *Agent) LinkDown(now time.Time, entry string, epoch uint64) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch || !p.session.IsUp() {
		return
	}
	a.recordPeer(now, event.LinkDown, p, "the connection ended", epoch)
	a.drop(now, p)
	a.balance(now)
}

func (a *Agent) drop(now time.Time, p *peer) {
	p.session.Down()
	p.downAt = now
	a.slots.Unlink(p.hello.Incarnation)
	p.out = pb.AgentFrame{}
	p.dirty = false
}

// Step takes in a frame of the link with the given epoch.
func (a *Agent) Step(now time.Time, entry string, epoch uint64, f *pb.EntryFrame) {
	p := a.peer(entry)
	if p == nil || p.session.Epoch() != epoch {
		return
	}
	if p.session.Silent(now) {
		// This process was paused, and reads what has waited for it: starts of jobs
		// that may be over. Over a new link it gets those that are still wanted.
		a.Tick(now)
		return
	}
	if !p.session.Received(now, f.Seq, f.Ack, HasContent(f)) {
		return
	}
	if !a.opts.Events.Observe(f.Clock, now) && f.Seq == 1 {
		a.recordPeer(now, event.ClockRejected, p, "its clock is too far ahead", 0)
	}
	a.recordReceived(now, p, f)
	a.acknowledged(p)
	a.slots.SetWant(entry, int(f.Want))
	if f.Returned > 0 || f.Recalled {
		a.slots.Returned(entry, int(f.Returned))
	}
	for _, b := range f.Starts {
		a.start(now, p, b)
	}
	for _, r := range f.Revokes {
		a.revoke(now, p, r)
	}
	for _, fe := range f.Fences {
		a.fence(now, p, fe)
	}
	for _, id := range f.Finished {
		a.finished(id)
	}
	if f.Ended {
		a.drop(now, p)
		a.lose(p)
	}
	a.runQueued(now)
	a.balance(now)
}

// lose takes an entry for gone: nobody waits for its results any more.
func (a *Agent) lose(p *peer) {
	p.lost = true
	for _, q := range slices.Clone(a.queue) {
		if q.task.rec.home == p.hello.Incarnation {
			a.unqueue(q.task, job.RefusedRevoked)
		}
	}
	a.retireAll(p.hello.Incarnation)
}

// HasContent reports whether a frame must be acknowledged.
func HasContent(f *pb.EntryFrame) bool {
	return f.Hello != nil || len(f.Starts) > 0 || len(f.Revokes) > 0 || len(f.Fences) > 0 ||
		f.Returned > 0 || len(f.Contracts) > 0
}

func (a *Agent) acknowledged(p *peer) {
	acked := p.session.Acked()
	n := 0
	for ; n < len(p.unacked) && p.unacked[n].seq <= acked; n++ {
		for _, t := range p.unacked[n].tasks {
			a.taskAcked(t)
		}
	}
	p.unacked = p.unacked[n:]
}

func (a *Agent) taskAcked(t *task) {
	if t.acked {
		return
	}
	t.acked = true
	t.rec.open--
	if t.notRun() {
		// From here on a start of the task is a new one.
		a.dropTask(t)
		return
	}
	a.retire(t.rec)
}

// notRun reports whether the endpoint has proven that the task never began.
func (t *task) notRun() bool {
	return t.result != nil && t.result.Outcome == pb.Outcome_OUTCOME_NOT_RUN
}

// start accepts or refuses each task of a batch.
func (a *Agent) start(now time.Time, p *peer, b *pb.StartBatch) {
	for _, ts := range b.Tasks {
		units := a.units(ts.MemoryBytes)
		if rec := a.jobs[b.Job]; rec != nil {
			if t := rec.tasks[ts.Task]; t != nil && t.notRun() && !b.Resent {
				// The home has taken in that the task did not run, and tries it again.
				a.dropTask(t)
			} else if t != nil {
				// A start sent again on a new link after the first arrived: running it
				// twice is what this record prevents. The result, if any, was put on the
				// new link when it came up.
				a.recordTask(now, event.TaskDuplicate, p, refOf(b.Job, ts.Task), "started before")
				a.slots.Unused(p.hello.Incarnation, units)
				continue
			}
		}
		if b.Resent && a.unacked.has(p.hello.Incarnation) {
			// The home was out of reach for so long that results were dropped which it
			// had not acknowledged. This start may belong to one of them; running it
			// could be the second time.
			a.slots.Unused(p.hello.Incarnation, units)
			a.addNews(p, b.Job, recordDropped(ts.Task))
			continue
		}
		verdict, why := limit.Refuse, a.refuse(p, b, units)
		if why == "" {
			verdict, why = a.slots.Start(p.hello.Incarnation, units), job.RefusedNoSlot
		}
		if verdict == limit.Refuse {
			a.recordTask(now, event.TaskRefused, p, refOf(b.Job, ts.Task), why)
			a.slots.Unused(p.hello.Incarnation, units)
			a.addNews(p, b.Job, refusal(ts.Task, why))
			continue
		}
		a.accept(now, p, b, ts, units, verdict)
	}
}

func (a *Agent) units(memory uint64) int {
	return place.Units(memory, a.opts.Hello.MemoryBytes, int(a.opts.Hello.Slots))
}

func refOf(name string, index uint32) TaskRef {
	contract, id := job.SplitName(name)
	return TaskRef{Contract: contract, Job: id, Task: index}
}

func recordDropped(index uint32) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Error: "the agent has dropped its record of the task"}
}

func refusal(index uint32, why string) *pb.TaskResult {
	return &pb.TaskResult{Task: index, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Error: why}
}

func (a *Agent) refuse(p *peer, b *pb.StartBatch, units int) string {
	_, bare := job.SplitName(b.Job)
	id, err := job.Parse(bare)
	switch {
	case err != nil || (id.HasHome() && id.Home.Incarnation != p.hello.Incarnation):
		return job.RefusedForeign
	case a.fenced(b.Job):
		return job.RefusedFenced
	case a.leaving:
		return job.RefusedLeaving
	case units > int(a.opts.Hello.Slots):
		return job.RefusedMemory
	case a.full():
		return job.RefusedFull
	}
	return ""
}

// full reports whether the agent would have to forget something that an entry
// has not acknowledged in order to take one more task.
func (a *Agent) full() bool {
	a.evict()
	return a.tasks >= a.opts.MaxRecords || a.resultBytes >= a.opts.MaxResultBytes
}

// accept keeps a record of a task and starts it, or puts it in the queue.
func (a *Agent) accept(now time.Time, p *peer, b *pb.StartBatch, ts *pb.TaskStart, units int, verdict limit.Verdict) {
	rec := a.jobs[b.Job]
	if rec == nil {
		contract, id := job.SplitName(b.Job)
		rec = &record{
			name: b.Job, contract: contract, id: id, home: p.hello.Incarnation, digest: b.Digest,
			tasks: make(map[uint32]*task, len(b.Tasks)),
		}
		a.jobs[b.Job] = rec
	}
	t := &task{rec: rec, index: ts.Task, memory: ts.MemoryBytes, units: units}
	rec.tasks[ts.Task] = t
	rec.open++
	rec.running++
	a.tasks++
	r := Run{
		TaskRef:  rec.ref(ts.Task),
		Kind:     b.Kind,
		Payload:  ts.Payload,
		Deadline: now.Add(time.Duration(b.TimeoutMs) * time.Millisecond),
	}
	if verdict == limit.Queue {
		a.enqueue(queued{t, r, b.Class})
		return
	}
	a.run(now, p, t, r)
}

func (a *Agent) run(now time.Time, p *peer, t *task, r Run) {
	a.recordTask(now, event.TaskStarted, p, r.TaskRef, "")
	a.running++
	a.reserve(t.rec.contract, 1, int64(t.memory))
	a.ready.Run = append(a.ready.Run, r)
}

func (a *Agent) reserve(contract string, tasks int, memory int64) {
	a.reserved = uint64(int64(a.reserved) + memory)
	l := a.loads[contract]
	if l == nil {
		l = &pb.ContractLoad{Contract: contract}
		a.loads[contract] = l
	}
	l.Running = uint32(int(l.Running) + tasks)
	l.MemoryBytes = uint64(int64(l.MemoryBytes) + memory)
	if l.Running == 0 {
		delete(a.loads, contract)
	}
}

// TaskEnded takes in the end of a task that Ready.Run asked for. The result's
// outcome is complete, failed, not run (the endpoint proved it never began) or
// unknown.
func (a *Agent) TaskEnded(now time.Time, ref TaskRef, res *pb.TaskResult) {
	rec := a.jobs[job.Name(ref.Contract, ref.Job)]
	if rec == nil {
		return
	}
	t := rec.tasks[ref.Task]
	if t == nil || t.result != nil {
		return
	}
	res.Task = ref.Task
	t.result = res
	rec.running--
	a.recordEnd(now, rec, res)
	a.running--
	a.slots.End(rec.home, t.units)
	a.resultBytes += len(res.Body)
	a.reserve(rec.contract, -1, -int64(t.memory))
	a.runQueued(now)
	home := a.homeOf(rec)
	if home != nil && home.session.IsUp() {
		a.addNews(home, rec.name, res)
		a.regrant(home, t.units)
	}
	for _, w := range rec.watchers {
		if p := a.peer(w); p != nil && p.session.IsUp() {
			a.addNews(p, rec.name, res)
		}
	}
	a.retire(rec)
	a.balance(now)
}

// dropTask forgets one task that has not run. Until its home has acknowledged
// that, or starts it anew, the record stays: a start that was sent again before
// the home learned of the end would run here while the home sends it elsewhere.
func (a *Agent) dropTask(t *task) {
	if !t.acked {
		t.acked = true
		t.rec.open--
	}
	delete(t.rec.tasks, t.index)
	a.tasks--
	a.resultBytes -= len(t.result.Body)
	if len(t.rec.tasks) == 0 {
		delete(a.jobs, t.rec.name)
		return
	}
	a.retire(t.rec)
}

func (a *Agent) homeOf(rec *record) *peer { return a.peer(rec.home) }

func (a *Agent) revoke(now time.Time, p *peer, r *pb.Revoke) {
	rec := a.jobs[r.Job]
	for _, index := range r.Tasks {
		var t *task
		if rec != nil {
			t = rec.tasks[index]
		}
		switch {
		case t == nil && a.unacked.has(p.hello.Incarnation):
			// It may be one of those whose record was dropped: "not run" can't be said.
			a.addNews(p, r.Job, recordDropped(index))
		case t == nil:
			// The link is in order and older links are dropped: a start for this task
			// can no longer arrive before the entry has seen this refusal.
			a.recordTask(now, event.TaskRevoked, p, refOf(r.Job, index), "before it came")
			a.addNews(p, r.Job, refusal(index, job.RefusedRevoked))
		case t.queued:
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "before it started")
			a.unqueue(t, job.RefusedRevoked)
		case t.result == nil && !t.stopping:
			t.stopping = true
			a.recordTask(now, event.TaskRevoked, p, rec.ref(index), "while it runs")
			a.ready.Stop = append(a.ready.Stop, rec.ref(index))
		}
	}
}

// fence refuses every later start of a job whose home is taken for gone, and
// reports what was started.
func (a *Agent) fence(now time.Time, p *peer, f *pb.Fence) {
	report := &pb.FenceReport{Job: f.Job}
	_, bare := job.SplitName(f.Job)
	id, _ := job.Parse(bare)
	if home := a.peer(id.Home.Incarnation); !f.HomeEnded && home != nil && home.session.IsUp() && !home.session.Silent(now) {
		// The asker can't reach the home, but this agent does: fencing would end a
		// job that goes well.
		report.HomeAlive = true
	} else if !a.addFence(now, f.Job) {
		// Without room the job can't be fenced, and saying so keeps the asker from
		// drawing conclusions.
		report.Evicted = true
	}
	if a.evicted.has(id.Home.Incarnation) {
		report.Evicted = true
	}
	if a.fenced(f.Job) {
		a.unqueueJob(f.Job, job.RefusedFenced)
	}
	if rec := a.jobs[f.Job]; rec != nil {
		report.Digest = rec.digest
		for _, t := range rec.sortedTasks() {
			if t.result == nil {
				report.Running = append(report.Running, t.index)
			} else {
				report.Results = append(report.Results, t.result)
			}
		}
		rec.watch(p.hello.Incarnation)
	}
	a.recordFence(now, p, report)
	p.out.Fenced = append(p.out.Fenced, report)
	p.dirty = true
}

// addFence reports whether the job is fenced.
func (a *Agent) addFence(now time.Time, name string) bool {
	a.expireFences(now)
	if a.fenced(name) {
		return true
	}
	if len(a.fences) >= a.opts.MaxFences {
		return false
	}
	a.fences[name] = now.Add(a.opts.FenceTTL)
	a.fenceOrder = append(a.fenceOrder, name)
	return true
}

func (a *Agent) fenced(jobID string) bool {
	_, ok := a.fences[jobID]
	return ok
}

func (a *Agent) expireFences(now time.Time) {
	n := 0
	for ; n < len(a.fenceOrder) && a.fences[a.fenceOrder[n]].Before(now); n++ {
		delete(a.fences, a.fenceOrder[n])
	}
	a.fenceOrder = a.fenceOrder[n:]
}

// finished drops a job that its home has answered.
func (a *Agent) finished(id string) {
	rec := a.jobs[id]
	if rec == nil || rec.open > 0 {
		return
	}
	a.forget(rec)
}

func (a *Agent) addNews(p *peer, jobID string, res *pb.TaskResult) {
	p.dirty = true
	news := p.out.News
	if n := len(news); n > 0 && news[n-1].Job == jobID {
		news[n-1].Results = append(news[n-1].Results, res)
		return
	}
	p.out.News = append(news, &pb.TaskNews{Job: jobID, Results: []*pb.TaskResult{res}})
}

// Tick takes in the passing of time; call it no later than Next says.
func (a *Agent) Tick(now time.Time) {
	for _, p := range a.peers {
		if !p.session.IsUp() && !p.lost && !now.Before(p.downAt.Add(a.opts.PeerLostAfter)) {
			a.lose(p)
		}
		if p.session.Silent(now) {
			a.recordPeer(now, event.PeerSuspected, p, "the link has gone silent", p.session.Epoch())
			a.ready.Relink = append(a.ready.Relink, p.hello.Incarnation)
			a.drop(now, p)
		} else if p.session.Due(now) {
			p.dirty = true
		}
	}
	a.balance(now)
}

// Next is when Tick is due; zero: not before the next input.
func (a *Agent) Next() time.Time {
	next := a.slots.RecallAt()
	for _, p := range a.peers {
		next = link.Earlier(next, p.session.Next())
		if !p.session.IsUp() && !p.lost {
			next = link.Earlier(next, p.downAt.Add(a.opts.PeerLostAfter))
		}
	}
	return next
}

// Leave stops the agent from taking new work and tells every entry.
func (a *Agent) Leave(now time.Time) {
	a.leaving = true
	a.opts.Events.Record(now, event.Event{Kind: event.DrainBegun, Detail: "no new tasks", Value: uint64(a.running)})
	a.unqueueJob("", job.RefusedLeaving)
	for _, p := range a.peers {
		a.slots.Unlink(p.hello.Incarnation)
		p.dirty = p.session.IsUp()
	}
}

// Drained reports whether nothing is left that an entry waits for. Each entry must
// have acknowledged that this agent is leaving: a start that it sent before is
// still on its way, and ending now would leave its outcome unknown. An entry that
// has only lost its link is waited for too, or its results would be lost.
func (a *Agent) Drained() bool {
	if a.running > 0 {
		return false
	}
	for _, p := range a.peers {
		if !p.lost && !(p.session.IsUp() && p.told && p.session.Settled()) {
			return false
		}
	}
	return true
}

// Size is what an Agent holds in memory.
type Size struct {
	Tasks, ResultBytes, Fences int
	// Held counts the tasks that can't be evicted: they run, or their home has yet
	// to acknowledge the result.
	Held int
}

// Size returns the sizes that Options bound.
func (a *Agent) Size() Size {
	s := Size{Tasks: a.tasks, ResultBytes: a.resultBytes, Fences: len(a.fences)}
	for _, rec := range a.jobs {
		if rec.running > 0 || !a.unwanted(rec) {
			s.Held += len(rec.tasks)
		}
	}
	return s
}

// Ready returns what has to be done since the last call.
func (a *Agent) Ready(now time.Time) Ready {
	for _, p := range a.peers {
		if p.dirty && p.session.IsUp() {
			a.flush(now, p)
		}
	}
	if a.dropped > 0 {
		a.opts.Events.Record(now, event.Event{Kind: event.RecordsEvicted, Value: uint64(a.dropped)})
		a.dropped = 0
	}
	r := a.ready
	a.ready = Ready{}
	return r
}

func (a *Agent) flush(now time.Time, p *peer) {
	f := &pb.AgentFrame{
		Hello: p.out.Hello, News: p.out.News, Fenced: p.out.Fenced,
		Granted: p.out.Granted, Recall: p.out.Recall, Leaving: a.leaving,
	}
	p.out = pb.AgentFrame{}
	p.dirty = false
	if now.Sub(p.loadSentAt) >= a.opts.LoadEvery {
		f.Load = a.load()
		p.loadSentAt = now
	}
	if !a.opts.Divided {
		spare := int32(a.slots.Free())
		f.Spare = &spare
		f.Waiting = uint32(a.slots.Queued(p.hello.Incarnation))
	}
	content := f.Hello != nil || len(f.News) > 0 || len(f.Fenced) > 0 || f.Granted > 0 || (a.leaving && !p.told)
	p.told = a.leaving
	f.Seq, f.Ack = p.session.Send(now, content)
	a.recordSent(now, p, f)
	f.Clock = a.opts.Events.Stamp(now)
	if tasks := a.tasksOf(p, f.News); len(tasks) > 0 {
		p.unacked = append(p.unacked, sentNews{seq: f.Seq, tasks: tasks})
	}
	a.ready.Frames = append(a.ready.Frames, Out{Entry: p.hello.Incarnation, Epoch: p.session.Epoch(), Frame: f})
}

// tasksOf lists the recorded tasks of a home that news is about; refusals have no
// record. Only the home's acknowledgement counts: with that of an entry that
// gathers results, the record would be evicted, and the home, back from a pause,
// would have the task run again.
func (a *Agent) tasksOf(home *peer, news []*pb.TaskNews) []*task {
	var out []*task
	for _, n := range news {
		rec := a.jobs[n.Job]
		if rec == nil || rec.home != home.hello.Incarnation {
			continue
		}
		for _, res := range n.Results {
			if t := rec.tasks[res.Task]; t != nil && t.result == res {
				out = append(out, t)
			}
		}
	}
	return out
}

func (a *Agent) load() *pb.AgentLoad {
	l := &pb.AgentLoad{
		Running:             uint32(a.running),
		FreeSlots:           uint32(max(a.slots.Free(), 0)),
		ReservedMemoryBytes: a.reserved,
	}
	for _, c := range sortedKeys(a.loads) {
		cl := a.loads[c]
		l.Contracts = append(l.Contracts, &pb.ContractLoad{Contract: cl.Contract, Running: cl.Running, MemoryBytes: cl.MemoryBytes})
	}
	return l
}

func (a *Agent) peer(incarnation string) *peer {
	for _, p := range a.peers {
		if p.hello.Incarnation == incarnation {
			return p
		}
	}
	return nil
}
