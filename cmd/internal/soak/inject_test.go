package soak

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/site"
)

// injectorWithRelay returns an injector whose only process has a relay on the path.
func injectorWithRelay(t *testing.T, path Path) (*injector, *site.Relay) {
	t.Helper()
	r, err := site.NewRelayAt("127.0.0.2:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	c := &cluster{checker: NewChecker(func(time.Duration) bool { return false }), started: time.Now()}
	c.agents = []*node{{relays: map[Path]*site.Relay{path: r}}}
	return &injector{c: c}, r
}

// A refusal that outlasts its action would make later findings meaningless.
func TestRefuseLinkEnds(t *testing.T) {
	for _, path := range paths {
		i, r := injectorWithRelay(t, path)
		if !i.perform(Action{Kind: RefuseLink, Path: path, For: time.Millisecond}) {
			t.Errorf("%s: not performed", path)
		}
		c, err := net.Dial("tcp", r.Address())
		if err != nil {
			t.Errorf("%s: %v after the refusal", path, err)
			continue
		}
		_ = c.Close()
	}
}

// A link that stays cut because its address was taken must be reported, or the rest
// of the soak would check less than it claims.
func TestRefuseLinkReportsTakenAddress(t *testing.T) {
	t.Parallel()
	i, r := injectorWithRelay(t, AgentToWorker)
	r.Refuse()
	taken, err := net.Listen("tcp", r.Address())
	for attempt := 0; errors.Is(err, syscall.EADDRINUSE) && attempt < 10; attempt++ {
		// Another socket of this machine has been given the port; it may be closed at any time.
		i, r = injectorWithRelay(t, AgentToWorker)
		r.Refuse()
		taken, err = net.Listen("tcp", r.Address())
	}
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	i.listen(Action{Kind: RefuseLink, Path: AgentToWorker}, r)
	if f := i.c.checker.Findings(); len(f) != 1 || f[0].Promise != promiseRelays {
		t.Errorf("findings %v, want that the relay doesn't listen again", f)
	}
}
