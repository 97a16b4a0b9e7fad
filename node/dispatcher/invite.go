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
	// askedAtOnce is how many entries are asked for agents. Two drawn at random nearly
	// always differ in what they have; more would each invite agents for one want.
	askedAtOnce = 2
	// maxInvited bounds what another entry may ask of this one.
	maxInvited = 16
)

// invite asks some other entries to have agents of theirs link to this one.
func (d *Dispatcher) invite(w dispatcher.Want) {
	others := d.peers.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	req := &pb.InviteRequest{Address: d.opts.Address, Service: w.Service, Size: w.Size.Message(), Label: w.Label, Agents: uint32(w.Agents)}
	var invited atomic.Int64
	d.peers.ask(d.ctx, others[:min(askedAtOnce, len(others))], func(ctx context.Context, x *peer) {
		resp, err := x.client.Invite(ctx, connect.NewRequest(req))
		if err != nil {
			d.opts.Logger.Warn("invitation_unanswered", "entry", x.address, "err", err)
			return
		}
		invited.Add(int64(resp.Msg.Agents))
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Invited(w, int(invited.Load()))
}
