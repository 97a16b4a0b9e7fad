package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/site"
)

func TestTimelineAndStatusOfLiveSite(t *testing.T) {
	s, err := site.Start(site.Options{
		Entries: 2, Workers: 1, WorkersPerRack: 1, FailureDomains: []string{"frame-hall"}, Slots: 2, Cores: 4,
		Connections: 4, MemoryBytes: 1 << 30, DrainTimeout: time.Second, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	for limit := time.Now().Add(20 * time.Second); !s.Linked(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out waiting for the agent to be linked")
		}
	}
	page := filepath.Join(t.TempDir(), "timeline.html")
	live := s.Entries()[0].OperatorsAddress()
	tests := []struct {
		name string
		args []string
		code cli.Code
		says []string
	}{
		{"text", []string{"timeline", "--operators", live}, cli.CodeDone, []string{"process-started", "link-up", "agent-00"}},
		{"json", []string{"timeline", "--operators", live, "--format", "json", "--from", "10m"}, cli.CodeDone, []string{`"missing": []`}},
		{"page", []string{"timeline", "--operators", live, "--format", "html", "-o", page}, cli.CodeDone, []string{"0 missing"}},
		{"nothing that old", []string{"timeline", "--operators", live, "--until", "2020-01-01T00:00:00Z"}, cli.CodeDone, []string{"no events match"}},
		{"no time", []string{"timeline", "--operators", live, "--from", "yesterday"}, cli.CodeUsage, []string{"yesterday"}},
		{"empty range", []string{"timeline", "--operators", live, "--from", "1m", "--until", "2m"}, cli.CodeDone, []string{"MISSING", "from must lie before until"}},
		{"status", []string{"status", "--operators", live, "--interval", "1ms"}, cli.CodeDone, []string{"ALL WELL", "entry-1", "1 linked"}},
		{"status in JSON", []string{"status", "--operators", live, "--interval", "0s", "--format", "json"}, cli.CodeDone, []string{`"alarms": []`}},
		{"nobody", []string{"status", "--operators", "127.0.0.1:1"}, cli.CodeFailure, []string{"none of 127.0.0.1:1 answers"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			code := cli.Run(t.Context(), "papayahoist", help, tt.args, &out, &out, registerStatus, registerTimeline)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			for _, text := range tt.says {
				if !strings.Contains(out.String(), text) {
					t.Errorf("output lacks %q:\n%s", text, out.String())
				}
			}
		})
	}
	if written, err := os.ReadFile(page); err != nil || !strings.Contains(string(written), "process-started") {
		t.Errorf("page: %v", err)
	}
}
