package process

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// countingExchanger counts the messages of the exchanges that this entry begins.
// The driver counts those of the exchanges that it answers.
type countingExchanger struct {
	next    membership.Exchanger
	metrics *metrics.Entry
}

// Exchange implements membership.Exchanger.
func (c countingExchanger) Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error) {
	c.metrics.CountMessage(metrics.MessageExchange, metrics.Sent, proto.Size(state))
	answer, err := c.next.Exchange(ctx, address, state)
	if err == nil {
		c.metrics.CountMessage(metrics.MessageExchange, metrics.Received, proto.Size(answer))
	}
	return answer, err
}
