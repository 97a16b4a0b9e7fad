package agent

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// entryLink is one connection from an entry.
type entryLink struct {
	epoch uint64
	out   *rpc.Queue[*pb.AgentFrame]
	end   context.CancelFunc
}

func (a *Agent) nodesHandler() http.Handler {
	r := chi.NewRouter()
	path, h := papayahoistv1connect.NewAgentServiceHandler(&linkService{a: a}, connect.WithReadMaxBytes(2*jobs.MaxBody))
	r.Mount(path, h)
	return r
}

type linkService struct {
	papayahoistv1connect.UnimplementedAgentServiceHandler
	a *Agent
}

type linkStream = connect.BidiStream[pb.EntryFrame, pb.AgentFrame]

// Link serves one link until it ends.
func (s *linkService) Link(ctx context.Context, stream *linkStream) error {
	a := s.a
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetIncarnation() == "" {
		return connect.NewError(connect.CodeInvalidArgument, ErrLink.New("the first frame has no hello"))
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	l := &entryLink{epoch: hello.Epoch, out: rpc.NewQueue[*pb.AgentFrame](), end: end}
	a.opts.Core.Events.Observe(first.Clock, time.Now())
	if refused := a.linkUp(hello, l); refused != "" {
		return stream.Send(&pb.AgentFrame{Hello: &pb.AgentHello{
			Agent: a.opts.Hello.Agent, Incarnation: a.opts.Hello.Incarnation, Refused: refused,
		}})
	}
	defer a.linkDown(hello, l)
	go a.readLink(stream, hello, end)
	return l.out.Drain(ctx, stream.Send)
}

func (a *Agent) linkUp(hello *pb.EntryHello, l *entryLink) (refused string) {
	a.decide(func(now time.Time) {
		if refused = a.core.LinkUp(now, hello); refused != "" {
			return
		}
		if old := a.links[hello.Incarnation]; old != nil {
			old.end()
		}
		a.links[hello.Incarnation] = l
		if hello.Address != "" {
			a.known[hello.Address] = hello.Incarnation
		}
	})
	return refused
}

func (a *Agent) linkDown(hello *pb.EntryHello, l *entryLink) {
	a.decide(func(now time.Time) {
		a.core.LinkDown(now, hello.Incarnation, hello.Epoch)
		if a.links[hello.Incarnation] == l {
			delete(a.links, hello.Incarnation)
		}
	})
}

func (a *Agent) readLink(stream *linkStream, hello *pb.EntryHello, end context.CancelFunc) {
	defer end()
	for {
		f, err := stream.Receive()
		if err != nil {
			return
		}
		a.opts.Metrics.Message(metrics.EntryFrameKind(f), metrics.Received, proto.Size(f))
		if len(f.Peers) > 0 {
			a.learn(f.Peers)
			a.forget(f.Peers)
		}
		a.decide(func(now time.Time) { a.core.Step(now, hello.Incarnation, hello.Epoch, f) })
	}
}

const (
	announceEvery   = 500 * time.Millisecond
	announceTimeout = time.Second
	// joinEvery is how often a linked agent announces itself at an address behind
	// which it knows no entry, such as the balancer's. That finds entries of which
	// no linked one knows.
	joinEvery = 30 * time.Second
)

// announceLoop makes the agent known to each entry that has no link to it.
func (a *Agent) announceLoop() {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	var joined time.Time
	for {
		now := time.Now()
		join := now.Sub(joined) >= joinEvery
		if join {
			joined = now
		}
		for _, address := range a.unlinked(join) {
			a.announce(address, false, false)
		}
		select {
		case <-t.C:
		case <-a.ctx.Done():
			return
		}
	}
}

// unlinked lists the addresses to announce at: those of entries without a link,
// and, without any link or when join is set, those with no known entry behind.
func (a *Agent) unlinked(join bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	join = join || len(a.links) == 0
	var out []string
	for address, incarnation := range a.known {
		if incarnation == "" && join || incarnation != "" && a.links[incarnation] == nil {
			out = append(out, address)
		}
	}
	return out
}

func (a *Agent) announce(address string, relink, leaving bool) {
	ctx, cancel := context.WithTimeout(a.ctx, announceTimeout)
	defer cancel()
	client := rpc.NewClient(a.opts.NodesTLS)
	defer client.CloseIdleConnections()
	req := &pb.AnnounceRequest{
		Agent: a.opts.Hello, Relink: relink, Leaving: leaving, Clock: a.opts.Core.Events.Stamp(time.Now()),
	}
	a.opts.Metrics.Message(metrics.MessageAnnounce, metrics.Sent, proto.Size(req))
	resp, err := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(address, a.opts.NodesTLS)).Announce(ctx,
		connect.NewRequest(req))
	if err != nil {
		a.log.Debug("announce failed", "entry", address, "err", err)
		return
	}
	a.learn(resp.Msg.Peers)
}

// learn takes in the entries that another one names. The announcements to come
// make the agent known to them.
func (a *Agent) learn(peers []*pb.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range peers {
		if p.Address != "" && a.known[p.Address] == "" {
			a.known[p.Address] = p.Incarnation
		}
	}
}

// forget drops entries without a link that a linked one doesn't name any more.
// Entries are replaced all the time, and an agent that kept announcing itself to
// each that ever was would spend its time waiting for dead addresses.
func (a *Agent) forget(living []*pb.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, incarnation := range a.known {
		named := slices.ContainsFunc(living, func(p *pb.Peer) bool { return p.Address == address })
		if !named && a.links[incarnation] == nil && !slices.Contains(a.opts.Join, address) {
			delete(a.known, address)
		}
	}
}

// relink asks an entry for a new link over a new connection: the one in use has
// gone silent, and only the entry opens links.
func (a *Agent) relink(incarnation string) {
	a.mu.Lock()
	var to string
	for address, inc := range a.known {
		if inc == incarnation {
			to = address
		}
	}
	a.mu.Unlock()
	if to != "" {
		a.announce(to, true, false)
	}
}
