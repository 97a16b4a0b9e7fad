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
	"github.com/papayahoist/papayahoist/node/connlimit"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// entryLink is a link from an entry, over a connection of its own.
type entryLink struct {
	epoch  uint64
	out    *rpc.Queue[*pb.AgentFrame]
	cancel context.CancelFunc
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

// Link serves an entry's link until it ends.
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &entryLink{epoch: hello.Epoch, out: rpc.NewQueue[*pb.AgentFrame](), cancel: cancel}
	a.opts.Core.Events.Observe(first.Clock, time.Now())
	if refused := a.linkUp(hello, l); refused != "" {
		return stream.Send(&pb.AgentFrame{Hello: &pb.AgentHello{
			Agent: a.opts.Hello.Agent, Incarnation: a.opts.Hello.Incarnation, Refused: refused,
		}})
	}
	defer a.linkDown(hello, l)
	connlimit.KeepOpen(ctx)
	go a.readLink(stream, hello, cancel)
	return l.out.SendAll(ctx, stream.Send)
}

func (a *Agent) linkUp(hello *pb.EntryHello, l *entryLink) (refused string) {
	a.step(func(now time.Time) {
		if refused = a.core.LinkUp(now, hello); refused != "" {
			return
		}
		if old := a.links[hello.Incarnation]; old != nil {
			old.cancel()
		}
		a.links[hello.Incarnation] = l
		if hello.Address != "" {
			a.entries[hello.Address] = hello.Incarnation
		}
	})
	return refused
}

func (a *Agent) linkDown(hello *pb.EntryHello, l *entryLink) {
	a.step(func(now time.Time) {
		a.core.LinkDown(now, hello.Incarnation, hello.Epoch)
		if a.links[hello.Incarnation] == l {
			delete(a.links, hello.Incarnation)
		}
	})
}

func (a *Agent) readLink(stream *linkStream, hello *pb.EntryHello, cancel context.CancelFunc) {
	defer cancel()
	for {
		f, err := stream.Receive()
		if err != nil {
			return
		}
		a.opts.Metrics.CountMessage(metrics.EntryFrameKind(f), metrics.Received, proto.Size(f))
		if len(f.Peers) > 0 {
			a.addEntries(f.Peers)
			a.pruneEntries(f.Peers)
		}
		a.step(func(now time.Time) { a.core.Step(now, hello.Incarnation, hello.Epoch, f) })
	}
}

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	// joinInterval is how often a linked agent announces itself at addresses whose
	// entry it does not know, such as the load balancer's. This finds entries that no
	// linked entry knows.
	joinInterval = 30 * time.Second
)

// announceLoop announces the agent to each entry that has no link to it.
func (a *Agent) announceLoop() {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	var lastJoin time.Time
	for {
		now := time.Now()
		join := now.Sub(lastJoin) >= joinInterval
		if join {
			lastJoin = now
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

// unlinked returns the addresses to announce at: those of entries without a link
// and, if join is set or there is no link at all, those whose entry is not known.
func (a *Agent) unlinked(join bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	join = join || len(a.links) == 0
	var out []string
	for address, incarnation := range a.entries {
		if incarnation == "" && join || incarnation != "" && a.links[incarnation] == nil {
			out = append(out, address)
		}
	}
	return out
}

func (a *Agent) announce(address string, newLink, leaving bool) {
	ctx, cancel := context.WithTimeout(a.ctx, announceTimeout)
	defer cancel()
	client := rpc.NewClient(a.opts.NodesTLS)
	defer client.CloseIdleConnections()
	req := &pb.AnnounceRequest{
		Agent: a.opts.Hello, Relink: newLink, Leaving: leaving, Clock: a.opts.Core.Events.Stamp(time.Now()),
	}
	a.opts.Metrics.CountMessage(metrics.MessageAnnounce, metrics.Sent, proto.Size(req))
	resp, err := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(address, a.opts.NodesTLS)).Announce(ctx,
		connect.NewRequest(req))
	if err != nil {
		a.log.Debug("announce failed", "entry", address, "err", err)
		return
	}
	a.addEntries(resp.Msg.Peers)
}

// addEntries records entries that another entry has sent. announceLoop announces
// the agent to them.
func (a *Agent) addEntries(peers []*pb.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range peers {
		if p.Address != "" && a.entries[p.Address] == "" {
			a.entries[p.Address] = p.Incarnation
		}
	}
}

// pruneEntries removes the entries that have no link and are not among the live
// entries that a linked entry has sent. Entries are replaced all the time; without
// pruning, the agent would spend its time on announcements to dead addresses.
func (a *Agent) pruneEntries(live []*pb.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, incarnation := range a.entries {
		listed := slices.ContainsFunc(live, func(p *pb.Peer) bool { return p.Address == address })
		if !listed && a.links[incarnation] == nil && !slices.Contains(a.opts.Join, address) {
			delete(a.entries, address)
		}
	}
}

// requestLink asks an entry for a new link over a new connection, because the
// current one has become unresponsive and only entries open links.
func (a *Agent) requestLink(incarnation string) {
	a.mu.Lock()
	var target string
	for address, inc := range a.entries {
		if inc == incarnation {
			target = address
		}
	}
	a.mu.Unlock()
	if target != "" {
		a.announce(target, true, false)
	}
}
