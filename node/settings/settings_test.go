package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
)

const (
	entryExample = "../../docs/operators/entry.json"
	agentExample = "../../docs/operators/agent.json"
)

func readExample(t testing.TB, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadEntry(t *testing.T) {
	got, err := LoadEntry(entryExample)
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultEntry()
	want.Name = "entry-1"
	want.FailureDomain = "frame-hall"
	want.CallersListen = "0.0.0.0:7400"
	want.CallersAddress = "10.0.1.11:7400"
	want.NodesListen = "0.0.0.0:7401"
	want.NodesAddress = "10.0.1.11:7401"
	want.OperatorsListen = "10.0.1.11:7402"
	want.StoreAddresses = []string{"10.0.9.1:7500"}
	want.Join = []string{"10.0.1.5:7401"}
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestLoadAgent(t *testing.T) {
	got, err := LoadAgent(agentExample)
	if err != nil {
		t.Fatal(err)
	}
	want := Agent{
		Role: RoleAgent, Name: "agent-frame-hall-03", Worker: "frame-hall-03",
		Rack: "frame-hall-r1", FailureDomain: "frame-hall",
		NodesListen: "10.0.2.3:7401", OperatorsListen: "10.0.2.3:7402",
		EndpointAddress: "127.0.0.1:8000", Join: []string{"10.0.1.5:7401"},
		Slots: 8, Connections: 64, Cores: 16, MemoryBytes: 32 << 30,
		ProcessMemoryMB: 256, DrainTimeout: 30 * time.Second, LogFormat: LogJSON, Preset: "response",
	}
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

// A mistyped key or value is rejected. Otherwise the process would start with the
// default in its place, which goes unnoticed until the intended limit or address
// is needed.
func TestCheckReports(t *testing.T) {
	entry, agent := readExample(t, entryExample), readExample(t, agentExample)
	tests := []struct {
		name, text string
		kind       *errorx.Type
		want       []string // parts of the message
	}{
		{"unknown key", strings.Replace(entry, `"name"`, `"nmae"`, 1), UnknownKey, []string{":4: ", `"nmae"`, "known here"}},
		{"key of the other role", strings.Replace(entry, `"join"`, `"slots"`, 1), UnknownKey, []string{`"slots"`}},
		{"key in another case", strings.Replace(entry, `"name"`, `"Name"`, 1), UnknownKey, []string{`"Name"`}},
		{"nested key", strings.Replace(entry, `"join"`, "\"tls\": {\"nodes\": {\n\"crt\": \"\"}},\n\"join\"", 1), UnknownKey, []string{":17: ", `"tls.nodes.crt"`}},
		{"key twice", strings.Replace(entry, `"join"`, `"name": "other", "join"`, 1), WrongValue, []string{`"name"`, "twice", "line 4"}},
		{"wrong type", strings.Replace(agent, `"slots": 8`, `"slots": "8"`, 1), WrongValue, []string{":16: ", `"slots"`, `"8"`, "whole number"}},
		{"number too large", strings.Replace(agent, `"slots": 8`, `"slots": 5000000000`, 1), WrongValue, []string{"5000000000", "4294967295"}},
		{"unknown preset", strings.Replace(entry, `"join"`, `"preset": "fast", "join"`, 1), WrongValue, []string{`"preset"`, `"fast"`, "response", "messages"}},
		{"null", strings.Replace(agent, `"slots": 8`, `"slots": null`, 1), WrongValue, []string{`"slots"`, "null"}},
		{"out of range", strings.Replace(agent, `"slots": 8`, `"slots": 1025`, 1), WrongValue, []string{":16: ", `"slots"`, "1025", "1 to 1024"}},
		{"zero", strings.Replace(agent, `"cores": 16`, `"cores": 0`, 1), WrongValue, []string{`"cores"`, "1 to 4096"}},
		{"missing key", strings.Replace(agent, `"cores": 16,`, "", 1), MissingKey, []string{`"cores"`, "1 to 4096"}},
		{"bare number as duration", strings.Replace(entry, `"30s"`, `30`, 1), WrongValue, []string{`"drain_timeout"`, "30", `"2s"`}},
		{"duration out of range", strings.Replace(entry, `"30s"`, `"11m"`, 1), WrongValue, []string{"11m0s", "1s", "10m0s"}},
		{"host name", strings.Replace(entry, `"0.0.0.0:7400"`, `"localhost:7400"`, 1), WrongValue, []string{":8: ", `"callers_listen"`, "localhost:7400", "ip:port"}},
		{"announced address missing", strings.Replace(entry, `"nodes_address": "10.0.1.11:7401",`, "", 1), MissingKey, []string{`"nodes_address"`, "0.0.0.0"}},
		{"address of no use", strings.Replace(entry, `"10.0.1.5:7401"`, `"0.0.0.0:7401"`, 1), WrongValue, []string{`"join"`, "0.0.0.0:7401"}},
		{"address twice", strings.Replace(entry, `["10.0.9.1:7500"]`, `["10.0.9.1:7500", "10.0.9.1:7500"]`, 1), WrongValue, []string{`"store_addresses"`, "each once"}},
		{"level", strings.Replace(entry, `"info"`, `"info+1"`, 1), WrongValue, []string{`"log_level"`, "INFO+1", "warn"}},
		{"certificate without key", strings.Replace(entry, `"join"`, `"tls": {"nodes": {"cert": "a.pem"}}, "join"`, 1), MissingKey, []string{`"tls.nodes.key"`}},
		{"certificate file absent", strings.Replace(entry, `"join"`, `"tls": {"nodes": {"cert": "a.pem", "key": "b.pem"}}, "join"`, 1), Unreadable, []string{"a.pem"}},
		{"role", strings.Replace(entry, `"role": "entry"`, `"role": "both"`, 1), WrongValue, []string{":3: ", `"role"`, `"both"`}},
		{"role of another type", strings.Replace(entry, `"role": "entry"`, `"role": 5`, 1), WrongValue, []string{":3: ", `"role"`, "5"}},
		{"no role", strings.Replace(entry, `"role": "entry",`, "", 1), MissingKey, []string{`"role"`}},
		{"syntax", strings.Replace(entry, `"role"`, `role`, 1), Malformed, []string{"line 3"}},
		{"no object", `[]`, Malformed, []string{":1: "}},
		{"deep nesting", strings.Repeat("[", 1000), Malformed, []string{"deeper"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := write(t, test.text)
			_, err := Check(path)
			if !errorx.IsOfType(err, test.kind) {
				t.Fatalf("error %v, want one of type %s", err, test.kind)
			}
			for _, part := range append(test.want, filepath.Base(path)) {
				if test.kind == Unreadable && part == filepath.Base(path) {
					continue
				}
				if !strings.Contains(err.Error(), part) {
					t.Errorf("message %v lacks %q", err, part)
				}
			}
		})
	}
}

func TestCheckReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(`"slots"`, `"slotz"`, `"cores"`, `"coars"`).Replace(readExample(t, agentExample))
	_, err := Check(write(t, text))
	if got := len(Problems(err)); got != 2 {
		t.Errorf("%d problems, want 2: %v", got, err)
	}
}

func TestValidateBuiltInCode(t *testing.T) {
	entry := DefaultEntry()
	err := entry.Validate()
	if got := len(Problems(err)); got != 6 {
		t.Errorf("%d problems, want one per key without default, 6: %v", got, err)
	}
}

// FuzzParse feeds arbitrary text to the decoder, which must either return an
// error of this package or settings that pass their own validation.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, entryExample))
	f.Add(readExample(f, agentExample))
	f.Add(`{"role": "entry", "tls": {"nodes": null}}`)
	f.Add(`{"role": "agent", "join": [1, null, {}], "slots": 1e3,}`)
	f.Fuzz(func(t *testing.T, text string) {
		entry, err := parse("f", []byte(text), DefaultEntry())
		checkParsed(t, err, func() error { return entry.Validate() })
		agent, err := parse("f", []byte(text), DefaultAgent())
		checkParsed(t, err, func() error { return agent.Validate() })
	})
}

func checkParsed(t *testing.T, err error, validate func() error) {
	t.Helper()
	if err == nil {
		err := validate()
		if err != nil {
			t.Errorf("accepted settings fail their validation: %v", err)
		}
		return
	}
	for _, problem := range Problems(err) {
		typed := errorx.Cast(problem)
		if typed == nil || !namespace.IsNamespaceOf(typed.Type()) {
			t.Errorf("error %v is not of this package", problem)
		}
	}
}
