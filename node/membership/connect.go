package membership

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Connect is an Exchanger over the nodes' ports of entries.
type Connect struct {
	tls *tls.Config

	mu      sync.Mutex
	clients map[string]*http.Client
}

// NewConnect returns an Exchanger; nil is for plain connections.
func NewConnect(tlsConfig *tls.Config) *Connect {
	return &Connect{tls: tlsConfig, clients: map[string]*http.Client{}}
}

// Exchange implements Exchanger. A connection over which an exchange has failed
// is not used again: it may have gone silent for good while new ones work.
func (c *Connect) Exchange(ctx context.Context, address string, state *pb.PeerState) (*pb.PeerState, error) {
	client := c.client(address)
	service := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(address, c.tls))
	answer, err := service.Exchange(ctx, connect.NewRequest(state))
	if err != nil {
		c.drop(address, client)
		return nil, ErrExchange.Wrap(err, "exchange with %s", address)
	}
	return answer.Msg, nil
}

func (c *Connect) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == nil {
		c.clients[address] = rpc.NewClient(c.tls)
	}
	return c.clients[address]
}

func (c *Connect) drop(address string, client *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == client {
		delete(c.clients, address)
	}
	client.CloseIdleConnections()
}
