package rpc

import (
	"crypto/tls"
	"net/http"
	"sync"
	"time"
)

// clientIdleTimeout is how long an unused client is kept.
const clientIdleTimeout = 10 * time.Minute

// ClientCache caches one client, with its connections, per address. It is safe for
// concurrent use.
type ClientCache struct {
	tls *tls.Config

	mu      sync.Mutex
	clients map[string]*cachedClient
}

type cachedClient struct {
	client   *http.Client
	lastUsed time.Time
}

// NewClientCache returns an empty cache. A nil tlsConfig means no TLS.
func NewClientCache(tlsConfig *tls.Config) *ClientCache {
	return &ClientCache{tls: tlsConfig, clients: make(map[string]*cachedClient)}
}

// Get returns the client for an address, creating it if there is none.
func (c *ClientCache) Get(address string) *http.Client {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.clients[address]
	if k == nil {
		c.prune(now)
		k = &cachedClient{client: NewClient(c.tls)}
		c.clients[address] = k
	}
	k.lastUsed = now
	return k.client
}

func (c *ClientCache) prune(now time.Time) {
	for address, k := range c.clients {
		if now.Sub(k.lastUsed) > clientIdleTimeout {
			delete(c.clients, address)
			k.client.CloseIdleConnections()
		}
	}
}

// Drop removes a client on which a call has failed: its connection may stay
// unresponsive while a new one would work. Calls in progress on it continue.
func (c *ClientCache) Drop(address string, client *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.clients[address]; k != nil && k.client == client {
		delete(c.clients, address)
	}
	client.CloseIdleConnections()
}
