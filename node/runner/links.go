package runner

import (
	"context"
	"errors"
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
)

// link is one connection to an entry.
type link struct {
	epoch uint64
	out   *rpc.Queue[*pb.WorkerFrame]
	end   context.CancelFunc
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
	e.learn(first.Entries)
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
		if len(f.InvitedBy) > 0 {
			e.invited(f.InvitedBy)
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

func write(ctx context.Context, stream *linkStream, l *link) {
	if l.out.Drain(ctx, stream.Send) != nil {
		l.end()
	}
}
