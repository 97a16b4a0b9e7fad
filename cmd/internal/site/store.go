package site

import (
	"context"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// Store is a stand-in of the platform's key-value service, behind a relay.
type Store struct {
	*kv.Server
	relay  *Relay
	server *http.Server
}

// newStore starts the store and writes the contracts.
func newStore(o Options) (*Store, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, ErrStart.Wrap(err, "store")
	}
	relay, err := NewRelay(o.Delay)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	relay.SetBackend(ln.Addr().String())
	s := &Store{Server: kv.New(kv.Options{}), relay: relay}
	s.server = &http.Server{Handler: s.Server, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(ln) }()
	if err := s.writeContracts(o); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// writeContracts writes the contracts as an operator would.
func (s *Store) writeContracts(o Options) error {
	editor := config.NewEditor(etcdv3.New("http://"+s.Address(), etcdv3.Options{}), config.EditorOptions{})
	for _, c := range o.Contracts {
		// The store assigns the revision.
		c = proto.CloneOf(c)
		c.Revision = 0
		_, err := editor.Apply(context.Background(), contract.Change{
			Contract: c, ID: "site-" + c.Name, Author: "site", At: time.Now(),
		})
		if err != nil {
			return ErrStart.Wrap(err, "contract %s", c.Name)
		}
	}
	return nil
}

func (s *Store) close() {
	_ = s.server.Close()
	s.relay.Close()
}

// Address returns the address on which processes reach the store.
func (s *Store) Address() string { return s.relay.Address() }

// Relay returns the relay between the processes and the store.
func (s *Store) Relay() *Relay { return s.relay }
