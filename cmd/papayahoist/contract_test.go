package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
)

// operator runs commands against a stand-in store.
type operator struct {
	t     *testing.T
	store *kv.Server
	url   string
	dir   string
}

func newOperator(t *testing.T) *operator {
	t.Setenv("USER", "tester")
	store := kv.New(kv.Options{})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &operator{t: t, store: store, url: server.URL, dir: t.TempDir()}
}

// run runs "contract ARGS" and checks its exit code.
func (o *operator) run(want cli.Code, args ...string) (out string) {
	o.t.Helper()
	var stdout, stderr bytes.Buffer
	args = append([]string{"contract", "--store", o.url}, args...)
	if code := cli.Run(o.t.Context(), "papayahoist", help, args, &stdout, &stderr, commands...); code != want {
		o.t.Fatalf("%q: exit code %d, want %d; %s%s", args, code, want, &stdout, &stderr)
	}
	return stdout.String() + stderr.String()
}

func (o *operator) file(name, text string) string {
	o.t.Helper()
	path := filepath.Join(o.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
	return path
}

const terms = `{
  // The specimen desk.
  "name": "break-reports", "class": "CLASS_URGENT",
  "rate": 100, "concurrency": 40, "memory_bytes": 1073741824, "waiting": 500,
}`

func (o *operator) contains(out string, parts ...string) {
	o.t.Helper()
	for _, part := range parts {
		if !strings.Contains(out, part) {
			o.t.Errorf("output lacks %q:\n%s", part, out)
		}
	}
}

func TestContractRoundTrip(t *testing.T) {
	o := newOperator(t)
	o.run(cli.CodeDone, "apply", "--by", "ana", o.file("a.json", terms))
	o.contains(o.run(cli.CodeDone, "list"), "break-reports", "urgent", "100/s", "1.0 GiB")

	held := o.run(cli.CodeDone, "get", "break-reports")
	more := o.file("b.json", strings.Replace(held, "500", "900", 1))
	o.contains(o.run(cli.CodeDone, "diff", more), "waiting", "500", "900")
	o.run(cli.CodeDone, "apply", "--by", "ben", more)
	o.contains(o.run(cli.CodeDone, "diff", more), "no difference")

	history := o.run(cli.CodeDone, "history", "break-reports")
	o.contains(history, "ana", "ben", "900")
	first := strings.Fields(strings.Split(history, "\n")[2])[0]
	o.run(cli.CodeDone, "rollback", "break-reports", first)
	o.contains(o.run(cli.CodeDone, "get", "break-reports"), "500")

	o.run(cli.CodeDone, "delete", "break-reports")
	o.run(cli.CodeNotFound, "get", "break-reports")
}

func TestContractExample(t *testing.T) {
	o := newOperator(t)
	o.run(cli.CodeDone, "apply", "../../docs/operators/try/contract.json")
	o.contains(o.run(cli.CodeDone, "list"), "break-reports", "32.0 GiB", "20s")
}

// Two operators edit the same revision. The second must get a conflict instead of
// overwriting the first one's change.
func TestContractRace(t *testing.T) {
	o := newOperator(t)
	o.run(cli.CodeDone, "apply", o.file("a.json", terms))
	held := o.run(cli.CodeDone, "get", "break-reports")
	o.run(cli.CodeDone, "apply", o.file("b.json", strings.Replace(held, "500", "900", 1)))
	concurrent := o.file("c.json", strings.Replace(held, "40", "44", 1))
	o.contains(o.run(cli.CodeConflict, "apply", concurrent), "changed since", "waiting", "900")
	o.run(cli.CodeDone, "apply", "--rebase", concurrent)
	o.contains(o.run(cli.CodeDone, "get", "break-reports"), "44", "900")
}

// The store's response to a write is lost, or the store is down. The message and the
// exit code must state correctly whether the change was made.
func TestContractStoreFaults(t *testing.T) {
	o := newOperator(t)
	file := o.file("a.json", terms)
	o.store.SetFaults(kv.Faults{LoseResponses: 1})
	o.run(cli.CodeDone, "apply", file)
	o.contains(o.run(cli.CodeDone, "history", "break-reports"), "REVISION")

	o.store.SetFaults(kv.Faults{Refuse: true})
	held := o.file("b.json", strings.Replace(terms, "500", "900", 1))
	o.contains(o.run(cli.CodeNotRun, "apply", held), "nothing was changed")
}

func TestContractFileErrors(t *testing.T) {
	o := newOperator(t)
	tests := []struct {
		name, text string
		parts      []string
	}{
		{"unknown key", strings.Replace(terms, `"rate"`, `"rates"`, 1), []string{"rates", "line 4"}},
		{"out of range", strings.Replace(terms, "100,", "-1,", 1), []string{"rate", "-1", "0 to 1000000"}},
		{"syntax", "{", []string{"a.json"}},
	}
	for _, test := range tests {
		o.contains(o.run(cli.CodeUsage, "apply", o.file("a.json", test.text)), test.parts...)
	}
}
