package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
)

const (
	// maxAskedEntries bounds the entries asked for agents at a time. Two drawn at random
	// nearly always differ in their agents; more would each invite agents for the same
	// request.
	maxAskedEntries = 2
	// maxInvitedAgents bounds the agents invited for one request of another entry.
	maxInvitedAgents = 16
)

// invite asks other entries to invite agents of theirs to link to this one, and records
// how many were invited.
func (d *Dispatcher) invite(w dispatcher.AgentRequest) {
	others := d.peers.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	req := &pb.InviteRequest{Address: d.opts.Address, Service: w.Service, Size: w.Size.Message(), Label: w.Label, Agents: uint32(w.MaxAgents)}
	var invited atomic.Int64
	d.peers.callAll(d.ctx, others[:min(maxAskedEntries, len(others))], func(ctx context.Context, x *peer) {
		resp, err := x.client.Invite(ctx, connect.NewRequest(req))
		if err != nil {
			d.opts.Logger.Warn("invitation_unanswered", "entry", x.address, "err", err)
			return
		}
		invited.Add(int64(resp.Msg.Agents))
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.RecordInvitations(w, int(invited.Load()))
}
