package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const leasedEntryText = `{
	"role": "leased-entry", "name": "entry-1", "failure_domain": "frame-hall",
	"callers_listen": "10.1.0.13:8161", "ready_listen": "10.1.0.13:8167", "nodes_listen": "10.1.0.13:8166",
	"store_address": "10.200.1.7:8169", "seeds": ["10.1.0.13:8166", "10.2.0.30:8166"],
	"bounds": {"resend": "1300ms", "max_lease": "1000ms", "stop": "50ms", "grace": "6s", "remote_factor": 1.5},
	"processor_share": 0.4, "memory_mb": 284,
}`

const leasedAgentText = `{
	"role": "leased-agent", "name": "agent-1", "failure_domain": "frame-hall", "reports_listen": "10.1.0.14:8166",
	"worker_address": "10.1.0.14:8165", "store_address": "10.200.1.7:8169", "seeds": ["10.1.0.13:8166"],
}`

func writeSettings(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLeasedSettings(t *testing.T) {
	e, err := LoadLeasedEntry(writeSettings(t, leasedEntryText))
	if err != nil || e.Bounds.ResendAfter != 1300*time.Millisecond || e.ProcessorShare != 0.4 || len(e.Seeds) != 2 {
		t.Errorf("%+v, %v", e, err)
	}
	a, err := LoadLeasedAgent(writeSettings(t, leasedAgentText))
	if err != nil || a.Bounds.GracePeriod != defaultGrace || a.Connections != defaultLeasedConnections {
		t.Errorf("%+v, %v", a, err)
	}
}

// A mistyped key or value must not silently be replaced by the default. It is
// rejected with a message that contains the file, line and key.
func TestWrongLeasedSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":  {`"ready_listen"`, `"raedy_listen"`, `:3: key "raedy_listen"`},
		"wrong role":   {`"leased-entry"`, `"entry"`, `:2: key "role"`},
		"not a number": {`0.4`, `"much"`, `:6: key "processor_share"`},
		"bad duration": {`"50ms"`, `"fifty"`, `:5: key "bounds.stop"`},
		"host name":    {`10.200.1.7:8169`, `store:8169`, `:4: key "store_address"`},
		"descriptors":  {`"memory_mb": 284`, `"memory_mb": 284, "descriptors": 10`, `:6: key "descriptors"`},
		"memory":       {`"memory_mb": 284`, `"memory_mb": 1`, `:6: key "memory_mb"`},
		"no mechanism": {`"memory_mb": 284`, `"memory_mb": 284, "without": ["ahead", "tracing"]`, `:6: key "without"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := LoadLeasedEntry(writeSettings(t, strings.Replace(leasedEntryText, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	for _, text := range []string{leasedEntryText, leasedAgentText} {
		if _, err := Check(writeSettings(t, text)); err != nil {
			t.Error(err)
		}
	}
}
