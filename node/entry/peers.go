package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/keyhome"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// Exchange handles another entry's state and returns this entry's.
func (s *nodesService) Exchange(_ context.Context, req *connect.Request[pb.PeerState]) (*connect.Response[pb.PeerState], error) {
	e := s.e
	if e.opts.HandleExchange == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, ErrStart.New("this entry does not exchange state"))
	}
	if req.Msg.GetSelf().GetIncarnation() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrStart.New("the state lacks its sender's incarnation"))
	}
	answer := e.opts.HandleExchange(req.Msg)
	e.opts.Metrics.CountMessage(metrics.MessageExchange, metrics.Received, proto.Size(req.Msg))
	e.opts.Metrics.CountMessage(metrics.MessageExchange, metrics.Sent, proto.Size(answer))
	return connect.NewResponse(answer), nil
}

// ExtendState adds this entry's clock, its contract shares and its key ownership
// state to a state that is sent to another entry. The parameter to is the
// recipient's incarnation, empty if it is not known.
func (e *Entry) ExtendState(to string, state *pb.PeerState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	state.Clock = e.opts.Core.Events.Stamp(now)
	e.extendShares(to, state)
	stamp, echoes := e.core.KeyResolver().State(now)
	state.DoorUnixNs = stamp.UnixNano()
	for _, echo := range echoes {
		state.DoorEchoes = append(state.DoorEchoes, &pb.DoorEcho{Entry: echo.Entry, UnixNs: echo.Stamp.UnixNano()})
	}
}

// extendShares adds the shares unless the recipient has acknowledged the current
// ones: their size grows with the number of contracts, and they would be most of
// the traffic between idle entries.
func (e *Entry) extendShares(to string, state *pb.PeerState) {
	shares := e.core.ShareState()
	if !proto.Equal(shares, e.shares) {
		e.shares, e.sharesClock = shares, state.Clock
	}
	state.SharesSeen = e.sharesReceived[to]
	if to == "" || e.sharesAcked[to] < e.sharesClock {
		state.Shares = shares
	}
}

// StateReceived applies the state of another entry. Exchanges overlap, so an older
// state can arrive after a newer one of the same entry. Applying its shares would
// hand out shares of a contract twice, and more tasks than allowed would run.
// Such states are recognized by the sender's clock.
func (e *Entry) StateReceived(state *pb.PeerState) {
	sender := state.GetSelf().GetIncarnation()
	e.step(func(now time.Time) {
		e.opts.Core.Events.Observe(state.Clock, now)
		e.receiveKeyState(now, state)
		last, known := e.sharesReceived[sender]
		if known {
			// This may be lower than before: an entry that was without contact to this
			// one for a while has discarded its shares.
			e.sharesAcked[sender] = state.SharesSeen
		}
		if !known || state.Shares == nil || state.Clock <= last {
			return
		}
		e.sharesReceived[sender] = state.Clock
		e.core.ReceiveShares(now, state.Shares)
	})
}

func (e *Entry) receiveKeyState(now time.Time, state *pb.PeerState) {
	if state.DoorUnixNs == 0 {
		return
	}
	echoes := make([]keyhome.Echo, 0, len(state.DoorEchoes))
	for _, echo := range state.DoorEchoes {
		echoes = append(echoes, keyhome.Echo{Entry: echo.Entry, Stamp: time.Unix(0, echo.UnixNs)})
	}
	e.core.KeyResolver().ReceiveState(now, state.GetSelf().GetIncarnation(), time.Unix(0, state.DoorUnixNs), echoes)
}

// AnnouncementRenewed records that the entry's announcement in the store is valid until the
// given time of Options.LeaseClock, which is counted from before the call to the store. It
// returns true if the list of entries must be read from the store and applied.
func (e *Entry) AnnouncementRenewed(until time.Time) (list bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.KeyResolver().AnnouncementRenewed(e.opts.LeaseClock(), until)
}

// ApplyList applies the complete list of entries in the store, read in a call that
// began at readAt.
func (e *Entry) ApplyList(readAt time.Time, incarnations []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.KeyResolver().ApplyList(time.Now(), readAt, incarnations)
}

// SetPeers sets the live entries, including this one, and notifies the agents of a
// change.
func (e *Entry) SetPeers(peers []*pb.Peer) {
	var advertised []string
	for _, p := range peers {
		advertised = append(advertised, p.Address+" "+p.Incarnation)
	}
	e.step(func(time.Time) {
		if !slices.Equal(advertised, e.advertised) {
			e.advertised = advertised
			e.core.NotifyPeers(peers)
		}
	})
}

// SetPossibleStarters sets which other entries may start tasks, whether this entry is
// fenced and must not start any, and the names of all contracts in force.
func (e *Entry) SetPossibleStarters(others []string, fenced bool, contracts []string) {
	e.step(func(now time.Time) {
		received, acked := make(map[string]uint64, len(others)), make(map[string]uint64, len(others))
		for _, incarnation := range others {
			received[incarnation], acked[incarnation] = e.sharesReceived[incarnation], e.sharesAcked[incarnation]
		}
		e.sharesReceived, e.sharesAcked = received, acked
		e.core.UpdateEntries(now, others, contracts)
		e.core.Fence(now, fenced)
	})
}

// HoldsShares reports whether the entry holds a share of any contract and so may
// start tasks. It is also true while no contract allows any tasks.
func (e *Entry) HoldsShares() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.HoldsShares()
}
