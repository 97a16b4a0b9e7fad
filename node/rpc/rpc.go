// Package rpc provides the HTTP servers and clients for traffic between the
// project's processes: HTTP/2 with or without TLS, and connections that are not
// shared between links.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Options that disable compression. Frames between processes are a few hundred bytes
// long and are sent one by one: compressing them took two thirds of an entry's CPU
// time.
var (
	// NoCompression is for connect handlers.
	NoCompression = connect.WithCompression("gzip", nil, nil)
	// NoAcceptCompression is for connect clients.
	NoAcceptCompression = connect.WithAcceptCompression("gzip", nil, nil)
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	// pingIdleTimeout exceeds the heartbeat interval of links, so that links need no
	// pings.
	pingIdleTimeout = 15 * time.Second
	pingTimeout     = 5 * time.Second
	maxHeaderBytes  = 16 << 10
)

// NewServer returns a server for HTTP/1.1 and HTTP/2 on one port. A nil tlsConfig
// means no TLS.
func NewServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{HTTP2: keepAlive(), Handler: h, Protocols: &p, TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// NewClient returns a client with its own connections. Each new link uses a new
// client: from a shared pool it could get the connection that has become
// unresponsive. A nil tlsConfig is for servers without TLS.
func NewClient(tlsConfig *tls.Config) *http.Client {
	return NewClientWithDialTimeout(dialTimeout, tlsConfig)
}

// NewClientWithDialTimeout is like NewClient but with the given dial timeout.
func NewClientWithDialTimeout(timeout time.Duration, tlsConfig *tls.Config) *http.Client {
	var p http.Protocols
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(tlsConfig == nil)
	d := &net.Dialer{Timeout: timeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext,
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialTLS(ctx, d, tlsConfig, network, addr)
		},
		Protocols: &p,
		HTTP2:     keepAlive(),
	}}
}

// dialTLS opens a connection with the current TLS configuration: that of
// config.GetConfigForClient if it is set, as in the configurations of package certs.
func dialTLS(ctx context.Context, d *net.Dialer, config *tls.Config, network, addr string) (net.Conn, error) {
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS13}
	}
	if config.GetConfigForClient != nil {
		current, err := config.GetConfigForClient(nil)
		if err != nil {
			return nil, err
		}
		config = current
	}
	config = config.Clone()
	config.NextProtos = []string{"h2"}
	dialer := tls.Dialer{NetDialer: d, Config: config}
	return dialer.DialContext(ctx, network, addr)
}

// keepAlive returns an HTTP/2 configuration with which unresponsive connections are
// closed and the goroutines that write to them end. Links detect an unresponsive
// peer sooner by themselves, but without pings the connections that they abandon
// would stay open until the operating system's timeout.
func keepAlive() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:  pingIdleTimeout,
		PingTimeout:      pingTimeout,
		WriteByteTimeout: pingTimeout,
	}
}

// URL returns the base URL of a node address; its scheme is http if tlsConfig is nil.
func URL(address string, tlsConfig *tls.Config) string {
	if tlsConfig != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Serve serves until the server is closed, which is not an error.
func Serve(s *http.Server, l net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
