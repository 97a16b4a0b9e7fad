package roster

import (
	"bytes"
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
		got, err := NewFinder(client, slog.New(slog.DiscardHandler)).Find(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(got) == 2 {
			break
		}
	}
	first.Leave()
	for {
		got, err := NewFinder(client, slog.New(slog.DiscardHandler)).Find(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(got) == 1 && got[0] == "127.0.0.1:2" {
			return
		}
	}
}

// Another program has left keys without an address among those of entries. Processes would dial
// them, tell others of them, or take them for further entries.
func TestListedKeyWithoutAddressIsSkipped(t *testing.T) {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	client := adapter.NewStore(strings.TrimPrefix(server.URL, "http://"), adapter.StoreOptions{})
	odd := []string{
		"", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "0.0.0.0:7720", "[::]:7720", ":7720", "localhost:7720",
		"http://127.0.0.1:7720", "127.0.0.1:7720/x", "127.0.0.1:7720?", " 127.0.0.1:7720", "127.0.0.1:7720\n", "127.0.0.1:7720\xff",
		"1e400", strings.Repeat("[", 100_000), strings.Repeat("a", 1<<20),
	}
	var log bytes.Buffer
	f := NewFinder(client, slog.New(slog.NewJSONHandler(&log, nil)))
	for _, value := range odd {
		s.Put(KeyPrefix+"a", []byte("127.0.0.1:1"))
		s.Put(KeyPrefix+"b", []byte(value))
		s.Put(KeyPrefix+"c", []byte("[::ffff:127.0.0.1]:2"))
		log.Reset()
		for range 2 {
			got, err := f.Find(t.Context())
			if err != nil || strings.Join(got, " ") != "127.0.0.1:1 127.0.0.1:2" {
				t.Errorf("beside %.30q: found %v, %v", value, got, err)
			}
		}
		if n := strings.Count(log.String(), "roster_entry_unreadable"); n != 1 || log.Len() > 500 {
			t.Errorf("beside %.30q: %d lines, %d bytes", value, n, log.Len())
		}
	}
	s.Put(KeyPrefix+"b", []byte("127.0.0.1:3"))
	if got, err := f.Find(t.Context()); err != nil || len(got) != 3 {
		t.Errorf("after the key was mended: %v, %v", got, err)
	}
}
