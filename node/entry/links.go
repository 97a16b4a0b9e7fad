package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// linkOpenTimeout limits the wait for an agent's first frame.
const linkOpenTimeout = 2 * time.Second

// agentLink is the link to an agent, over a connection of its own.
type agentLink struct {
	epoch  uint64
	out    *rpc.Queue[*pb.EntryFrame]
	cancel context.CancelFunc
}

// openLink starts a new link to an agent and closes the previous one. It must be
// called within step.
func (e *Entry) openLink(d entry.Dial) {
	if old := e.links[d.Agent]; old != nil {
		old.out.Close()
		old.cancel()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l := &agentLink{epoch: d.Hello.Epoch, out: rpc.NewQueue[*pb.EntryFrame](), cancel: cancel}
	e.links[d.Agent] = l
	go e.runLink(ctx, d, l)
}

func (e *Entry) runLink(ctx context.Context, d entry.Dial, l *agentLink) {
	defer l.cancel()
	client := rpc.NewClient(e.opts.NodesTLS)
	defer client.CloseIdleConnections()
	stream := papayahoistv1connect.NewAgentServiceClient(client, rpc.URL(d.Address, e.opts.NodesTLS)).Link(ctx)
	first, ok := openStream(stream, &pb.EntryFrame{Hello: d.Hello, Clock: e.opts.Core.Events.Stamp(time.Now())}, l)
	if !ok {
		e.step(func(now time.Time) {
			e.core.LinkDown(now, d.Agent, l.epoch, first.GetHello().GetRefused() != "" &&
				first.GetHello().GetIncarnation() != d.Hello.AgentIncarnation)
		})
		return
	}
	go writeLink(ctx, stream, l)
	e.step(func(now time.Time) {
		e.core.LinkUp(now, d.Agent, l.epoch)
		e.core.Step(now, d.Agent, l.epoch, first)
	})
	for {
		f, err := stream.Receive()
		if err != nil {
			break
		}
		e.opts.Metrics.CountMessage(metrics.AgentFrameKind(f), metrics.Received, proto.Size(f))
		e.step(func(now time.Time) { e.core.Step(now, d.Agent, l.epoch, f) })
	}
	e.step(func(now time.Time) { e.core.LinkDown(now, d.Agent, l.epoch, false) })
}

type linkStream = connect.BidiStreamForClient[pb.EntryFrame, pb.AgentFrame]

// openStream sends the opening frame and receives the agent's first frame. It
// returns false if the link could not be opened or the agent refused it; a refusal
// is in the returned frame.
func openStream(stream *linkStream, opening *pb.EntryFrame, l *agentLink) (*pb.AgentFrame, bool) {
	timeout := time.AfterFunc(linkOpenTimeout, l.cancel)
	defer timeout.Stop()
	if err := stream.Send(opening); err != nil {
		return nil, false
	}
	first, err := stream.Receive()
	if err != nil {
		return nil, false
	}
	return first, first.GetHello().GetRefused() == ""
}

func writeLink(ctx context.Context, stream *linkStream, l *agentLink) {
	if l.out.SendAll(ctx, stream.Send) != nil {
		l.cancel()
	}
}
