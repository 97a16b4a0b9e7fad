package rpc

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"
)

// clientIdle is how long a client without use is kept.
const clientIdle = 10 * time.Minute

// Clients keeps a client with its connections per address. It is safe for
// concurrent use.
type Clients struct {
	tls *tls.Config

	mu      sync.Mutex
	clients map[string]*kept
}

type kept struct {
	client *http.Client
	used   time.Time
}

// NewClients returns an empty set; nil is for plain connections.
func NewClients(tlsConfig *tls.Config) *Clients {
	return &Clients{tls: tlsConfig, clients: make(map[string]*kept)}
}

// Get returns the client for an address.
func (c *Clients) Get(address string) *http.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.clients[address]
	if k == nil {
		c.prune(now)
		k = &kept{client: NewClient(c.tls)}
		c.clients[address] = k
	}
	k.used = now
	return k.client
}

func (c *Clients) prune(now time.Time) {
	for address, k := range c.clients {
		if now.Sub(k.used) > clientIdle {
			delete(c.clients, address)
			k.client.CloseIdleConnections()
		}
	}
}

// Drop gives up a client on which a call has failed: its connection may have gone
// silent for good while a new one works. Calls that run on it go on.
func (c *Clients) Drop(address string, client *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.clients[address]; k != nil && k.client == client {
		delete(c.clients, address)
	}
	client.CloseIdleConnections()
}
