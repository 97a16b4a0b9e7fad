package dispatcher

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// link is one connection from an agent.
type link struct {
	epoch uint64
	out   *rpc.Queue[*pb.OrderFrame]
	end   context.CancelFunc
}

type service struct {
	papayahoistv1connect.UnimplementedWorkServiceHandler
	d *Dispatcher
}

type linkStream = connect.BidiStream[pb.WorkerFrame, pb.OrderFrame]

// Attach serves an agent's link until it ends.
func (s *service) Attach(ctx context.Context, stream *linkStream) error {
	d := s.d
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	g := first.GetHello()
	if g.GetIncarnation() == "" {
		return connect.NewError(connect.CodeInvalidArgument, ErrLink.New("the first frame has no hello"))
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	l := &link{epoch: g.Epoch, out: rpc.NewQueue[*pb.OrderFrame](), end: end}
	if !d.linkUp(g, l) {
		return connect.NewError(connect.CodeAborted, ErrLink.New("a newer link is open"))
	}
	defer d.linkDown(g, l)
	connlimit.KeepOpen(ctx)
	go d.readLink(stream, g, end)
	return l.out.SendAll(ctx, func(f *pb.OrderFrame) error {
		err := stream.Send(f)
		d.opts.OnFrameSent(clock.Now().Sub(time.Unix(0, f.SentNs)))
		return err
	})
}

func (d *Dispatcher) linkUp(g *pb.AgentGreeting, l *link) (ok bool) {
	d.decide(func(now time.Time) {
		old := d.links[g.Incarnation]
		if old != nil && old.epoch >= g.Epoch {
			return
		}
		if old != nil {
			old.end()
		}
		d.links[g.Incarnation] = l
		l.out.Put(d.core.LinkUp(now, g))
		ok = true
	})
	return ok
}

func (d *Dispatcher) linkDown(g *pb.AgentGreeting, l *link) {
	d.decide(func(now time.Time) {
		if d.links[g.Incarnation] == l {
			delete(d.links, g.Incarnation)
			d.core.LinkDown(now, g.Incarnation, g.Epoch)
		}
	})
}

func (d *Dispatcher) readLink(stream *linkStream, g *pb.AgentGreeting, end context.CancelFunc) {
	defer end()
	for {
		f, err := stream.Receive()
		if err != nil {
			return
		}
		d.decide(func(now time.Time) { d.core.Step(now, g.Incarnation, g.Epoch, f) })
	}
}

// Share handles an exchange that another entry has started.
func (s *service) Share(_ context.Context, req *connect.Request[pb.ShareRequest]) (*connect.Response[pb.ShareResponse], error) {
	return connect.NewResponse(s.d.peers.serve(req.Msg)), nil
}

// Invite invites agents of this entry to link to another one.
func (s *service) Invite(_ context.Context, req *connect.Request[pb.InviteRequest]) (*connect.Response[pb.InviteResponse], error) {
	m := req.Msg
	w := dispatcher.AgentRequest{Service: m.Service, Size: size.FromMessage(m.Size), Label: m.Label, MaxAgents: int(min(m.Agents, maxInvitedAgents))}
	invited := 0
	s.d.decide(func(now time.Time) { invited = s.d.core.InviteAgents(now, m.Address, w) })
	return connect.NewResponse(&pb.InviteResponse{Agents: uint32(invited)}), nil
}

// Cancel cancels a job on behalf of a caller of another entry.
func (s *service) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	return connect.NewResponse(&pb.CancelResponse{Known: s.d.cancelLocal(req.Msg.Queue, req.Msg.Job)}), nil
}
