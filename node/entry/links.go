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

// linkOpenTimeout bounds the wait for an agent's first frame.
const linkOpenTimeout = 2 * time.Second

// agentLink is one connection to an agent.
type agentLink struct {
	epoch uint64
	out   *rpc.Queue[*pb.EntryFrame]
	end   context.CancelFunc
}

// openLink starts a link in place of the one in use; called within decide.
func (e *Entry) openLink(d entry.Dial) {
	if old := e.links[d.Agent]; old != nil {
		old.out.Close()
		old.end()
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l := &agentLink{epoch: d.Hello.Epoch, out: rpc.NewQueue[*pb.EntryFrame](), end: cancel}
	e.links[d.Agent] = l
	go e.runLink(ctx, d, l)
}

func (e *Entry) runLink(ctx context.Context, d entry.Dial, l *agentLink) {
	defer l.end()
	client := rpc.NewClient(e.opts.NodesTLS)
	defer client.CloseIdleConnections()
	stream := papayahoistv1connect.NewAgentServiceClient(client, rpc.URL(d.Address, e.opts.NodesTLS)).Link(ctx)
	first, ok := openStream(stream, &pb.EntryFrame{Hello: d.Hello, Clock: e.opts.Core.Events.Stamp(time.Now())}, l)
	if !ok {
		e.decide(func(now time.Time) {
			e.core.LinkDown(now, d.Agent, l.epoch, first.GetHello().GetRefused() != "" &&
				first.GetHello().GetIncarnation() != d.Hello.AgentIncarnation)
		})
		return
	}
	go writeLink(ctx, stream, l)
	e.decide(func(now time.Time) {
		e.core.LinkUp(now, d.Agent, l.epoch)
		e.core.Step(now, d.Agent, l.epoch, first)
	})
	for {
		f, err := stream.Receive()
		if err != nil {
			break
		}
		e.opts.Metrics.Message(metrics.AgentFrameKind(f), metrics.Received, proto.Size(f))
		e.decide(func(now time.Time) { e.core.Step(now, d.Agent, l.epoch, f) })
	}
	e.decide(func(now time.Time) { e.core.LinkDown(now, d.Agent, l.epoch, false) })
}

type linkStream = connect.BidiStreamForClient[pb.EntryFrame, pb.AgentFrame]

// openStream exchanges the first frames. False: the link could not be opened, or
// the agent has refused it, which the frame then tells.
func openStream(stream *linkStream, opening *pb.EntryFrame, l *agentLink) (*pb.AgentFrame, bool) {
	late := time.AfterFunc(linkOpenTimeout, l.end)
	defer late.Stop()
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
	if l.out.Drain(ctx, stream.Send) != nil {
		l.end()
	}
}
