package process

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// storeCalls maps the kinds of calls of the store's client to those of the metrics.
var storeCalls = map[etcdv3.Kind]metrics.StoreCall{
	etcdv3.KindRead:  metrics.StoreGet,
	etcdv3.KindWrite: metrics.StoreWrite,
	etcdv3.KindLease: metrics.StoreLease,
	etcdv3.KindWatch: metrics.StoreWatch,
}

// newStoreClient returns a client of the store that fails over between the addresses.
func newStoreClient(addresses []string, transport http.RoundTripper, m *metrics.Entry) *etcdv3.Client {
	roundTripper := &failover{addresses: addresses, next: transport}
	return etcdv3.New("http://"+addresses[0], etcdv3.Options{
		HTTPClient: &http.Client{Transport: roundTripper},
		OnCall: func(kind etcdv3.Kind, took time.Duration, err error) {
			m.ObserveStoreCall(storeCalls[kind], took, err)
		},
	})
}

// failover sends requests to one address until a call to it fails, and then to the
// next. Otherwise a failed member of the store would look like an outage of the
// whole store for as long as it is down.
type failover struct {
	addresses []string
	next      http.RoundTripper
	current   atomic.Uint64
}

// RoundTrip implements http.RoundTripper. It does not retry.
func (f *failover) RoundTrip(r *http.Request) (*http.Response, error) {
	index := f.current.Load()
	address := f.addresses[index%uint64(len(f.addresses))]
	if r.URL.Host != address {
		r = r.Clone(r.Context())
		r.URL.Host, r.Host = address, ""
	}
	response, err := f.next.RoundTrip(r)
	// A call without progress counts as failed, one that its caller cancelled doesn't.
	if err != nil && !errors.Is(context.Cause(r.Context()), context.Canceled) {
		f.current.CompareAndSwap(index, index+1)
	}
	return response, err
}
