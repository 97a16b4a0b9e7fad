package process

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/membership"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// countedExchanger counts the messages of the exchanges that this entry begins;
// the driver counts those that it answers.
type countedExchanger struct {
	next    membership.Exchanger
	metrics *metrics.Entry
}

// Exchange implements membership.Exchanger.
func (c countedExchanger) Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error) {
	c.metrics.Message(metrics.MessageExchange, metrics.Sent, proto.Size(state))
	answer, err := c.next.Exchange(ctx, address, state)
	if err == nil {
		c.metrics.Message(metrics.MessageExchange, metrics.Received, proto.Size(answer))
	}
	return answer, err
}
