package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// Exchange answers another entry's exchange of state.
func (s *nodesService) Exchange(_ context.Context, req *connect.Request[pb.PeerState]) (*connect.Response[pb.PeerState], error) {
	e := s.e
	if e.opts.Exchange == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, ErrStart.New("this entry exchanges no state"))
	}
	if req.Msg.GetSelf().GetIncarnation() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrStart.New("an exchange names its sender"))
	}
	answer := e.opts.Exchange(req.Msg)
	e.opts.Metrics.Message(metrics.MessageExchange, metrics.Received, proto.Size(req.Msg))
	e.opts.Metrics.Message(metrics.MessageExchange, metrics.Sent, proto.Size(answer))
	return connect.NewResponse(answer), nil
}

// ExtendState adds what this entry tells the others of its use of contracts.
func (e *Entry) ExtendState(state *pb.PeerState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state.Shares = e.core.ShareState()
	state.Clock = e.opts.Core.Events.Stamp(time.Now())
}

// StateReceived takes in what another entry told. Exchanges overlap, so that an
// older state can come after a newer one of the same entry; taking it in would
// give away parts of a contract twice, and more tasks than allowed would run.
// The sender's clock shows it.
func (e *Entry) StateReceived(state *pb.PeerState) {
	sender := state.GetSelf().GetIncarnation()
	e.decide(func(now time.Time) {
		e.opts.Core.Events.Observe(state.Clock, now)
		last, known := e.heard[sender]
		if !known || state.Shares == nil || state.Clock <= last {
			return
		}
		e.heard[sender] = state.Clock
		e.core.SharesSeen(now, state.Shares)
	})
}

// SetPeers tells which entries live, this one among them, and the names of all
// contracts in force. Agents hear of a change of the entries.
func (e *Entry) SetPeers(peers []*pb.Peer, contracts []string) {
	var others, told []string
	for _, p := range peers {
		told = append(told, p.Address+" "+p.Incarnation)
		if p.Incarnation != e.opts.Hello.Incarnation {
			others = append(others, p.Incarnation)
		}
	}
	e.decide(func(now time.Time) {
		if !slices.Equal(told, e.told) {
			e.told = told
			e.core.TellPeers(peers)
		}
		heard := make(map[string]uint64, len(others))
		for _, incarnation := range others {
			heard[incarnation] = e.heard[incarnation]
		}
		e.heard = heard
		e.core.PeersSeen(now, others, contracts)
	})
}
