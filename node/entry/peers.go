package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/door"
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

// ExtendState adds what this entry tells another of its use of contracts. To is
// the other's incarnation, empty when it is not known.
func (e *Entry) ExtendState(to string, state *pb.PeerState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	state.Clock = e.opts.Core.Events.Stamp(now)
	e.extendShares(to, state)
	stamp, echoes := e.core.Door().State(now)
	state.DoorUnixNs = stamp.UnixNano()
	for _, echo := range echoes {
		state.DoorEchoes = append(state.DoorEchoes, &pb.DoorEcho{Entry: echo.Entry, UnixNs: echo.Stamp.UnixNano()})
	}
}

// extendShares leaves the shares out while the other has them as they are: they
// grow with the contracts and would be most of the bytes between entries at rest.
func (e *Entry) extendShares(to string, state *pb.PeerState) {
	shares := e.core.ShareState()
	if !proto.Equal(shares, e.shares) {
		e.shares, e.sharesAt = shares, state.Clock
	}
	state.SharesSeen = e.heard[to]
	if to == "" || e.sharesKnown[to] < e.sharesAt {
		state.Shares = shares
	}
}

// StateReceived takes in what another entry told. Exchanges overlap, so that an
// older state can come after a newer one of the same entry; taking it in would
// give away parts of a contract twice, and more tasks than allowed would run.
// The sender's clock shows it.
func (e *Entry) StateReceived(state *pb.PeerState) {
	sender := state.GetSelf().GetIncarnation()
	e.decide(func(now time.Time) {
		e.opts.Core.Events.Observe(state.Clock, now)
		e.doorHeard(now, state)
		last, known := e.heard[sender]
		if known {
			// Not the highest ever: the other may have been without this entry for a
			// while, and has forgotten what it knew of it.
			e.sharesKnown[sender] = state.SharesSeen
		}
		if !known || state.Shares == nil || state.Clock <= last {
			return
		}
		e.heard[sender] = state.Clock
		e.core.SharesSeen(now, state.Shares)
	})
}

func (e *Entry) doorHeard(now time.Time, state *pb.PeerState) {
	if state.DoorUnixNs == 0 {
		return
	}
	echoes := make([]door.Echo, 0, len(state.DoorEchoes))
	for _, echo := range state.DoorEchoes {
		echoes = append(echoes, door.Echo{Entry: echo.Entry, Stamp: time.Unix(0, echo.UnixNs)})
	}
	e.core.Door().Heard(now, state.GetSelf().GetIncarnation(), time.Unix(0, state.DoorUnixNs), echoes)
}

// Announced tells that the entry's announcement at the store holds until then,
// counted from before the call. True asks for Listed.
func (e *Entry) Announced(until time.Time) (list bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Door().Announced(time.Now(), until)
}

// Listed tells all entries that the store names, read in a call that began at
// readAt.
func (e *Entry) Listed(readAt time.Time, incarnations []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Door().Listed(time.Now(), readAt, incarnations)
}

// SetPeers tells which entries live, this one among them. Agents hear of a change.
func (e *Entry) SetPeers(peers []*pb.Peer) {
	var told []string
	for _, p := range peers {
		told = append(told, p.Address+" "+p.Incarnation)
	}
	e.decide(func(time.Time) {
		if !slices.Equal(told, e.told) {
			e.told = told
			e.core.TellPeers(peers)
		}
	})
}

// SetStarters tells which other entries may start tasks, whether this one must
// not, and the names of all contracts in force.
func (e *Entry) SetStarters(others []string, fenced bool, contracts []string) {
	e.decide(func(now time.Time) {
		heard, known := make(map[string]uint64, len(others)), make(map[string]uint64, len(others))
		for _, incarnation := range others {
			heard[incarnation], known[incarnation] = e.heard[incarnation], e.sharesKnown[incarnation]
		}
		e.heard, e.sharesKnown = heard, known
		e.core.PeersSeen(now, others, contracts)
		e.core.Fence(now, fenced)
	})
}

// HoldsParts reports whether the entry may start tasks of any contract; also true
// while no contract allows any.
func (e *Entry) HoldsParts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.HoldsParts()
}
