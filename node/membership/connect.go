package membership

import (
	"context"
	"crypto/tls"

	"connectrpc.com/connect"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Connect is an Exchanger that calls the nodes' ports of entries.
type Connect struct {
	tls     *tls.Config
	clients *rpc.ClientCache
}

// NewConnect returns an Exchanger. If tlsConfig is nil, connections are not encrypted.
func NewConnect(tlsConfig *tls.Config) *Connect {
	return &Connect{tls: tlsConfig, clients: rpc.NewClientCache(tlsConfig)}
}

// Exchange implements Exchanger. After a failed exchange it drops the client, whose
// connection may stay unresponsive while a new one works.
func (c *Connect) Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error) {
	client := c.clients.Get(address)
	service := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(address, c.tls))
	answer, err := service.Exchange(ctx, connect.NewRequest(state))
	if err != nil {
		c.clients.Drop(address, client)
		return nil, ErrExchange.Wrap(err, "exchange with %s", address)
	}
	return answer.Msg, nil
}
