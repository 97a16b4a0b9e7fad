package runner

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

const (
	// attachTimeout bounds the time to open a link: a few round trips, and the wait of a
	// process that has used up its CPU share.
	attachTimeout = 400 * time.Millisecond
	// dialTimeout bounds the time to connect: a few round trips, as the kernel of the
	// entry's machine accepts connections without the process. A packet to a machine that
	// is down is lost and retransmitted after a second; a new attempt detects sooner that
	// the machine is back.
	dialTimeout = 150 * time.Millisecond
)

// link is one connection to an entry.
type link struct {
	epoch uint64
	out   *rpc.Queue[*pb.WorkerFrame]
	end   context.CancelFunc
}

type linkStream = connect.BidiStreamForClient[pb.WorkerFrame, pb.OrderFrame]

// attach opens a link and serves it until it ends. It reports whether the link was open.
func (e *entries) attach(t *target) bool {
	e.mu.Lock()
	e.epoch++
	epoch, previous := e.epoch, t.incarnation
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.r.ctx)
	defer cancel()
	client := rpc.NewClientWithDialTimeout(dialTimeout, nil)
	defer client.CloseIdleConnections()
	timeout := time.AfterFunc(attachTimeout, cancel)
	dialedAt := clock.Now()
	stream := papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(t.address, nil), rpc.NoAcceptCompression).Attach(ctx)
	err := stream.Send(&pb.WorkerFrame{Hello: e.r.newGreeting(previous, epoch)})
	var first *pb.OrderFrame
	if err == nil || errors.Is(err, io.EOF) {
		// If no connection could be opened, Send returns io.EOF, and Receive the reason.
		first, err = stream.Receive()
	}
	timeout.Stop()
	if err != nil || first.GetHello() == nil {
		return false
	}
	e.addAddresses(first.Entries)
	hello := first.Hello
	if previous != "" && previous != hello.Incarnation {
		e.entryEnded(t, previous, "another process answers at the entry's address")
	}
	e.serve(ctx, cancel, stream, t, hello, epoch, dialedAt, first.SentNs)
	return true
}

// entryEnded records that an entry process has ended.
func (e *entries) entryEnded(t *target, incarnation, why string) {
	e.mu.Lock()
	t.incarnation = ""
	e.mu.Unlock()
	e.r.decide(func(now time.Time) { e.r.core.EntryEnded(now, incarnation, why) })
}

func (e *entries) serve(ctx context.Context, cancel context.CancelFunc, stream *linkStream, t *target, hello *pb.EntryGreeting, epoch uint64, dialedAt time.Time, sentNs int64) {
	l := &link{epoch: epoch, out: rpc.NewQueue[*pb.WorkerFrame](), end: cancel}
	e.setLinked(t, hello.Incarnation, true)
	defer e.setLinked(t, hello.Incarnation, false)
	up := false
	e.r.decide(func(now time.Time) {
		if up = e.r.core.LinkUp(now, dialedAt, hello, epoch, sentNs); up {
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
			e.addAddresses(f.Entries)
		}
		if len(f.InvitedBy) > 0 {
			e.handleInvitations(f.InvitedBy)
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
	if l.out.SendAll(ctx, stream.Send) != nil {
		l.end()
	}
}
