package runner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

const (
	// attachTimeout bounds the opening of a link: some round trips, and the wait for
	// a processor that has used up its share.
	attachTimeout = 400 * time.Millisecond
	// dialWithin bounds the wait for a connection, which the kernel of the entry's
	// machine grants without its process: some round trips. The first packet to a
	// machine without power is lost and sent again after a second; a new attempt is
	// what notices sooner that it is back.
	dialWithin = 150 * time.Millisecond
	// redialMin and redialMax bound the pause between attempts at an entry. Short at
	// first: runs are stopped when an entry stays silent.
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
	// redialEach is the pause, for each entry that is known, while none is linked: no
	// work comes then, and an entry that is back must not wait. It bounds an agent's
	// attempts to a hundred a second.
	redialEach = 10 * time.Millisecond
	// forgetAfter is how long an address without an entry behind it is tried, when
	// the other entries don't name it as living.
	forgetAfter = 20 * time.Second
	// findEvery is how often entries are looked for elsewhere while none is linked.
	findEvery = 2 * time.Second
)

// link is one connection to an entry.
type link struct {
	epoch uint64
	out   *rpc.Queue[*pb.WorkerFrame]
	end   context.CancelFunc
}

// entries keeps a link to each entry that is known.
type entries struct {
	r *Runner

	mu    sync.Mutex
	known map[string]*target // by address
	epoch uint64
}

// target is an address where an entry is, or was.
type target struct {
	address     string
	incarnation string // of the entry met there last
	named       time.Time
	linked      bool
}

func newEntries(r *Runner) *entries { return &entries{r: r, known: make(map[string]*target)} }

// run keeps the links until the runner is closed.
func (e *entries) run() {
	e.learn(e.r.opts.Entries)
	var found time.Time
	for e.r.ctx.Err() == nil {
		if e.r.opts.FindEntries != nil && !e.anyLinked() && time.Since(found) >= findEvery {
			found = time.Now()
			e.find()
		}
		e.r.pause(findEvery / 4)
	}
}

// longestPause bounds the pause between attempts at an entry.
func (e *entries) longestPause() time.Duration {
	if e.anyLinked() {
		return redialMax
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(redialMin, time.Duration(len(e.known))*redialEach)
}

func (e *entries) anyLinked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.known {
		if t.linked {
			return true
		}
	}
	return false
}

func (e *entries) find() {
	ctx, cancel := context.WithTimeout(e.r.ctx, findEvery)
	defer cancel()
	addresses, err := e.r.opts.FindEntries(ctx)
	if err != nil {
		e.r.opts.Logger.Warn("entries_not_found", "err", err)
		return
	}
	e.learn(addresses)
}

// learn takes in addresses of living entries, and links to those that are new.
func (e *entries) learn(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range addresses {
		t := e.known[address]
		if t == nil {
			t = &target{address: address}
			e.known[address] = t
			go e.keep(t)
		}
		t.named = clock.Now()
	}
}

// keep links to one entry again and again until its address is forgotten.
func (e *entries) keep(t *target) {
	pause := redialMin
	for e.r.ctx.Err() == nil {
		began := clock.Now()
		if e.attach(t) {
			pause = redialMin
		} else if e.forget(t) {
			return
		}
		if clock.Now().Sub(began) < redialMax {
			e.r.pause(min(pause, e.longestPause()))
			pause = min(2*pause, redialMax)
		}
	}
}

func (e *entries) forget(t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if clock.Now().Sub(t.named) < forgetAfter || slices.Contains(e.r.opts.Entries, t.address) {
		return false
	}
	delete(e.known, t.address)
	return true
}

type linkStream = connect.BidiStreamForClient[pb.WorkerFrame, pb.OrderFrame]

// attach opens a link and serves it until it ends. It reports whether it was open.
func (e *entries) attach(t *target) bool {
	e.mu.Lock()
	e.epoch++
	epoch, met := e.epoch, t.incarnation
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.r.ctx)
	defer cancel()
	client := rpc.NewClientWithin(dialWithin, nil)
	defer client.CloseIdleConnections()
	late := time.AfterFunc(attachTimeout, cancel)
	asked := clock.Now()
	stream := papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(t.address, nil), rpc.NoCompressionWanted).Attach(ctx)
	err := stream.Send(&pb.WorkerFrame{Hello: e.r.greeting(met, epoch)})
	var first *pb.OrderFrame
	if err == nil {
		first, err = stream.Receive()
	}
	late.Stop()
	if err != nil || first.GetHello() == nil {
		if met != "" && errors.Is(err, syscall.ECONNREFUSED) {
			// Nothing listens where the entry was: its process has ended.
			e.gone(t, met, "nothing listens at the entry's address")
		}
		return false
	}
	hello := first.Hello
	if met != "" && met != hello.Incarnation {
		e.gone(t, met, "another process answers at the entry's address")
	}
	e.serve(ctx, cancel, stream, t, hello, epoch, asked, first.SentNs)
	return true
}

// gone takes in that an entry process has ended.
func (e *entries) gone(t *target, incarnation, why string) {
	e.mu.Lock()
	t.incarnation = ""
	e.mu.Unlock()
	e.r.decide(func(now time.Time) { e.r.core.EntryGone(now, incarnation, why) })
}

func (e *entries) serve(ctx context.Context, cancel context.CancelFunc, stream *linkStream, t *target, hello *pb.EntryGreeting, epoch uint64, asked time.Time, sentNs int64) {
	l := &link{epoch: epoch, out: rpc.NewQueue[*pb.WorkerFrame](), end: cancel}
	e.set(t, hello.Incarnation, true)
	defer e.set(t, hello.Incarnation, false)
	up := false
	e.r.decide(func(now time.Time) {
		if up = e.r.core.LinkUp(now, asked, hello, epoch, sentNs); up {
			e.r.links[hello.Incarnation] = l
		}
	})
	if !up {
		return
	}
	e.r.opts.Logger.Info("entry_linked", "entry", hello.Entry, "incarnation", hello.Incarnation, "epoch", epoch)
	go write(ctx, stream, l)
	ended := false
	for {
		f, err := stream.Receive()
		if err != nil {
			break
		}
		if len(f.Entries) > 0 {
			e.learn(f.Entries)
		}
		ended = ended || f.Ended
		e.r.decide(func(now time.Time) { e.r.core.Step(now, hello.Incarnation, epoch, f) })
	}
	e.r.opts.Logger.Info("entry_unlinked", "entry", hello.Entry, "incarnation", hello.Incarnation, "epoch", epoch, "ended", ended)
	e.r.decide(func(now time.Time) {
		if e.r.links[hello.Incarnation] == l {
			delete(e.r.links, hello.Incarnation)
		}
		e.r.core.LinkDown(now, hello.Incarnation, epoch)
	})
}

func (e *entries) set(t *target, incarnation string, linked bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.linked = linked
	t.named = clock.Now()
	if linked {
		t.incarnation = incarnation
	}
}

func write(ctx context.Context, stream *linkStream, l *link) {
	if l.out.Drain(ctx, stream.Send) != nil {
		l.end()
	}
}
