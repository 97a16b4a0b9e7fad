package roster

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/adapter/standin"
)

// All seeds of a starting process may be stale. It must find the live entries
// through the list in the store, and an entry that has left must not be listed.
func TestEntriesFoundThroughList(t *testing.T) {
	server := httptest.NewServer(standin.NewStore())
	defer server.Close()
	client := adapter.NewStore(strings.TrimPrefix(server.URL, "http://"), adapter.StoreOptions{})
	options := func(name, address string) Options {
		return Options{
			Store: client, Name: name, Address: address, Logger: slog.New(slog.DiscardHandler),
			ListInterval: func() time.Duration { return time.Minute }, NoPeers: func() bool { return true },
		}
	}
	first, second := New(options("entry-1", "127.0.0.1:1")), New(options("entry-2", "127.0.0.1:2"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	found := make(chan []string, 10)
	go first.Run(ctx, func([]string) {})
	go second.Run(ctx, func(addresses []string) { found <- addresses })
	if got := <-found; !slices.Contains(got, "127.0.0.1:2") {
		t.Errorf("found %v, want the entry itself at least", got)
	}
	for {
		got, err := Find(ctx, client)
		if err != nil {
			t.Fatal(err)
		}
		if len(got) == 2 {
			break
		}
	}
	first.Leave()
	for {
		got, err := Find(ctx, client)
		if err != nil {
			t.Fatal(err)
		}
		if len(got) == 1 && got[0] == "127.0.0.1:2" {
			return
		}
	}
}
