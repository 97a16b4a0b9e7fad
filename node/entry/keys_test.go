package entry_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/entry"
)

// member is an entry whose store and exchanges are simulated by the test.
type member struct {
	*entry.Entry
	incarnation string
}

func (m member) state() *pb.PeerState {
	s := &pb.PeerState{Self: &pb.Peer{Incarnation: m.incarnation}}
	m.ExtendState("", s)
	return s
}

// handshake announces the entries, gives each the list of all, and exchanges states
// until every entry has completed the handshake with every other.
func handshake(members ...member) {
	var all []string
	for _, m := range members {
		m.AnnouncementRenewed(clock.Now().Add(time.Hour))
		all = append(all, m.incarnation)
	}
	for _, m := range members {
		m.ApplyList(time.Now(), all)
	}
	for range 3 {
		for _, from := range members {
			for _, to := range members {
				if from != to {
					to.StateReceived(from.state())
				}
			}
		}
	}
}

func submitKey(t *testing.T, e *entry.Entry, key string, firstSent time.Time) (int, jobs.Error) {
	body, err := json.Marshal(jobs.SubmitRequest{
		ID: key, Contract: "desk", Kind: "stamp", FirstSentUnixMillis: firstSent.UnixMilli(),
		Tasks: []jobs.Task{{Payload: []byte("x")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+e.CallersAddress()+jobs.PathJobs, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out jobs.Error
	if resp.StatusCode != http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, out
}

// A caller that makes its own keys sends each to two entries, as it would after
// losing the first answer. Each key must run once: a second run would, for example,
// issue two certificates for one serial number.
func TestCallerMadeKeys(t *testing.T) {
	s := newSite(t)
	var members []member
	var known atomic.Pointer[[]*pb.Peer]
	known.Store(&[]*pb.Peer{})
	peers := func() []*pb.Peer { return *known.Load() }
	ep := newBlockingEndpoint()
	close(ep.released)
	for _, name := range []string{"e1", "e2"} {
		e := s.entry(name, peers)
		s.agent(e, "", ep)
		members = append(members, member{Entry: e, incarnation: strings.TrimSuffix(token(t, e), "-0")})
	}
	if status, out := submitKey(t, members[0].Entry, "early", time.Now()); status == http.StatusOK || out.Outcome != jobs.OutcomeUnknown {
		t.Errorf("status %d, %+v before the entries' handshake, want outcome unknown", status, out)
	}
	var all []*pb.Peer
	for _, m := range members {
		all = append(all, &pb.Peer{Incarnation: m.incarnation, Address: m.NodesAddress()})
	}
	known.Store(&all)
	handshake(members...)
	// A key is accepted if it was first sent more than the allowed clock skew after
	// the handshake. This caller's clock is ahead by almost that skew.
	sent := time.Now().Add(keySkew + 10*time.Millisecond)
	for sent.After(time.Now().Add(keySkew)) {
		token(t, members[0].Entry)
	}
	for _, key := range []string{"serial-1", "serial-2", "serial-3", "serial-4"} {
		for _, m := range members {
			if status, out := submitKey(t, m.Entry, key, sent); status != http.StatusOK {
				t.Errorf("%s: status %d, %+v", key, status, out)
			}
		}
	}
	if n := ep.starts.Load(); n != 4 {
		t.Errorf("%d starts of 4 keys", n)
	}
	if status, out := submitKey(t, members[0].Entry, "no-time", time.UnixMilli(0)); status == http.StatusOK || out.Outcome != jobs.OutcomeUnknown {
		t.Errorf("status %d, %+v without the time when it was first sent, want outcome unknown", status, out)
	}
}

// A machine is suspended until its announcement has lapsed, and is resumed before it renews
// that. Others serve its keys by then: if it served them too, jobs would run twice.
func TestResumedEntryServesNoKeys(t *testing.T) {
	var suspended atomic.Int64
	leaseClock := func() time.Time { return clock.Now().Add(time.Duration(suspended.Load())) }
	s := newSite(t)
	e := s.entryWith("e1", func() []*pb.Peer { return nil }, leaseClock)
	ep := newBlockingEndpoint()
	close(ep.released)
	s.agent(e, "", ep)
	announce := func() bool {
		list := e.AnnouncementRenewed(leaseClock().Add(30 * time.Second))
		if list {
			e.ApplyList(time.Now(), nil)
		}
		return list
	}
	announce()
	sent := time.Now().Add(keySkew + 10*time.Millisecond)
	for sent.After(time.Now().Add(keySkew)) {
		token(t, e)
	}
	if status, out := submitKey(t, e, "serial-1", sent); status != http.StatusOK {
		t.Fatalf("status %d, %+v while the announcement is valid", status, out)
	}
	suspended.Store(int64(40 * time.Second))
	if status, out := submitKey(t, e, "serial-2", sent); status == http.StatusOK || out.Outcome != jobs.OutcomeUnknown {
		t.Errorf("status %d, %+v after the suspension, want outcome unknown", status, out)
	}
	if !announce() {
		t.Error("the list is not read again after the announcement had lapsed")
	}
	if status, out := submitKey(t, e, "serial-3", sent); status == http.StatusOK || out.Outcome != jobs.OutcomeUnknown {
		t.Errorf("status %d, %+v for a key sent before the announcement was renewed, want outcome unknown", status, out)
	}
	if n := ep.starts.Load(); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}
