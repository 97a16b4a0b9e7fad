// Package rpc holds what servers and clients between our processes share: HTTP/2
// without TLS or with it, and connections that are not shared between links.
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

// NoCompression keeps connect from compressing what a handler sends and a client
// accepts. Frames between processes are some hundred bytes and go out one by one:
// compressing them took two thirds of an entry's processor.
var (
	NoCompression       = connect.WithCompression("gzip", nil, nil)
	NoCompressionWanted = connect.WithAcceptCompression("gzip", nil, nil)
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	// pingAfter exceeds the heartbeat of links, so that a link costs no pings.
	pingAfter      = 15 * time.Second
	pingTimeout    = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server that speaks HTTP/1.1 and HTTP/2 on one port.
func NewServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{HTTP2: keepAlive(), Handler: h, Protocols: &p, TLSConfig: tlsConfig, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// NewClient returns a client with connections of its own. A link takes a new one
// each time: a pool would hand it the connection that has gone silent.
func NewClient(tlsConfig *tls.Config) *http.Client {
	return NewClientWithin(dialTimeout, tlsConfig)
}

// NewClientWithin returns such a client that waits so long for a connection.
func NewClientWithin(dial time.Duration, tlsConfig *tls.Config) *http.Client {
	var p http.Protocols
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(tlsConfig == nil)
	d := &net.Dialer{Timeout: dial}
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext,
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dialTLS(ctx, d, tlsConfig, network, addr)
		},
		Protocols: &p,
		HTTP2:     keepAlive(),
	}}
}

// dialTLS opens a connection with the configuration that is current now, which
// the one given may have to be asked for; see package certs.
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

// keepAlive has a connection closed that has gone silent, and the goroutines that
// write to it with it. Links notice silence themselves, and sooner; without pings
// what they leave behind would stay until the system gives the connection up.
func keepAlive() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:  pingAfter,
		PingTimeout:      pingTimeout,
		WriteByteTimeout: pingTimeout,
	}
}

// URL returns the base URL of a node address.
func URL(address string, tlsConfig *tls.Config) string {
	if tlsConfig != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Serve serves until the server is closed; a closed server is no error.
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
