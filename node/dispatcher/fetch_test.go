package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// Each entry that has a new configuration sent it to all that lacked it, all at the same time,
// and none of them arrived over a small link. It must be sent on request only.
func TestConfigurationIsNotSentUnasked(t *testing.T) {
	d := newTestDispatcher(t)
	d.SetConfiguration(&pb.Configuration{Version: 7}, "store")
	resp := d.peers.serve(&pb.ShareRequest{Version: 6, FetchesConfiguration: true})
	if resp.Configuration != nil || resp.Version != 7 || !resp.FetchesConfiguration {
		t.Errorf("answered with %v, want the version only", resp)
	}
	d.SetEvacuations(&pb.Evacuations{Revision: 5, Domains: []string{"shed"}})
	s := &service{d: d}
	for newerThan, want := range map[uint64]uint64{0: 7, 6: 7, 7: 0, 8: 0} {
		got, err := s.FetchConfiguration(t.Context(), connect.NewRequest(&pb.FetchConfigurationRequest{NewerThan: newerThan}))
		if err != nil || got.Msg.Configuration.GetVersion() != want {
			t.Errorf("newer than %d: version %d, %v; want %d", newerThan, got.Msg.Configuration.GetVersion(), err, want)
		}
		if got.Msg.Evacuations.GetRevision() != 5 {
			t.Errorf("fetched with evacuations %v, want those at revision 5", got.Msg.Evacuations)
		}
	}
}

// earlierEntry is an entry of an earlier version, which sends and is sent configurations.
type earlierEntry struct {
	papayahoistv1connect.UnimplementedWorkServiceHandler
	received chan uint64 // versions
	own      *pb.Configuration
}

func (e *earlierEntry) Share(_ context.Context, req *connect.Request[pb.ShareRequest]) (*connect.Response[pb.ShareResponse], error) {
	if v := req.Msg.Configuration.GetVersion(); v > e.own.GetVersion() {
		e.own = req.Msg.Configuration
		e.received <- v
	}
	resp := &pb.ShareResponse{Entry: "earlier", Incarnation: "1", Version: e.own.GetVersion()}
	if req.Msg.Version < resp.Version {
		resp.Configuration = e.own
	}
	return connect.NewResponse(resp), nil
}

// While a site is updated, entries of two versions run side by side. Configurations must pass
// in both directions.
func TestConfigurationPassesBetweenVersions(t *testing.T) {
	earlier := &earlierEntry{received: make(chan uint64, 1), own: &pb.Configuration{Version: 5}}
	_, h := papayahoistv1connect.NewWorkServiceHandler(earlier)
	server := httptest.NewUnstartedServer(h)
	server.Config = rpc.NewServer(h, nil)
	server.Start()
	defer server.Close()
	d := newTestDispatcher(t, server.Listener.Addr().String())
	for d.Configuration().GetVersion() != 5 {
		time.Sleep(5 * time.Millisecond)
	}
	d.SetConfiguration(&pb.Configuration{Version: 6}, "store")
	if v := <-earlier.received; v != 6 {
		t.Errorf("version %d was sent, want 6", v)
	}
}

// Many entries lack a configuration that one has. If it served all of them at once, each would
// get a small part of its link, and its callers, too.
func TestTransfersAreLimited(t *testing.T) {
	serving, end := make(chan struct{}), make(chan struct{})
	h := limitTransfers(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		serving <- struct{}{}
		<-end
	}))
	call := func(path string) int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, path, nil)
		r.Header.Set("Content-Type", "application/proto")
		r.Header.Set("Connect-Protocol-Version", "1")
		h.ServeHTTP(w, r)
		return w.Code
	}
	const fetch = papayahoistv1connect.WorkServiceFetchConfigurationProcedure
	for range maxTransfers {
		go call(fetch)
		<-serving
	}
	if code := call(fetch); code != http.StatusTooManyRequests {
		t.Errorf("status %d beside %d transfers, want 429", code, maxTransfers)
	}
	go call(papayahoistv1connect.WorkServiceShareProcedure)
	<-serving
	close(end)
}
