package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
)

// A misspelled key must not be silently replaced by a default: "check" must fail and
// name the key and the line.
func TestCheckNamesKeyAndLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	text := "{\n  \"role\": \"entry\",\n  \"nmae\": \"entry-1\",\n}\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	code := cli.Run(t.Context(), "papayahoistd", help, []string{"check", file}, &out, &errOut, commands...)
	if code != cli.CodeUsage {
		t.Errorf("exit code %d, want %d", code, cli.CodeUsage)
	}
	for _, part := range []string{file + ":3: ", `key "nmae"`, "unknown"} {
		if !strings.Contains(errOut.String(), part) {
			t.Errorf("message %q lacks %q", errOut.String(), part)
		}
	}
}

func TestCheckAcceptsExamples(t *testing.T) {
	const docs = "../../docs/operators/"
	for _, file := range []string{
		docs + "entry.json", docs + "agent.json",
		docs + "try/entry-1.json", docs + "try/entry-2.json", docs + "try/agent-1.json",
	} {
		var out, errOut bytes.Buffer
		code := cli.Run(t.Context(), "papayahoistd", help, []string{"check", file}, &out, &errOut, commands...)
		if code != cli.CodeDone || !strings.Contains(out.String(), "good settings") {
			t.Errorf("%s: exit code %d, output %q, errors %q", file, code, out.String(), errOut.String())
		}
	}
}

const (
	entrySettings = `{
		"role": "entry", "name": "entry-1", "failure_domain": "frame-hall", "log_format": "text",
		"callers_listen": "127.0.0.1:0", "nodes_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
		"store_addresses": ["127.0.0.1:1"],
	}`
	agentSettings = `{
		"role": "agent", "name": "agent-1", "worker": "worker-1", "rack": "rack-1", "failure_domain": "frame-hall",
		"nodes_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0", "log_format": "text",
		"endpoint_address": "127.0.0.1:1", "join": ["127.0.0.1:1"], "cores": 16, "memory_bytes": 1073741824,
	}`
)

// On SIGTERM the process must drain and exit 0, even if it can't reach the store, its
// endpoint or other processes: the platform counts any other exit code as a crash.
func TestTerminatedProcessExitsWithZero(t *testing.T) {
	for role, text := range map[string]string{"entry": entrySettings, "agent": agentSettings} {
		t.Run(role, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "node.json")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			ctx, terminate := context.WithCancel(t.Context())
			defer terminate()
			logs, errOut := io.Pipe()
			code := make(chan cli.Code, 1)
			go func() {
				code <- cli.Run(ctx, "papayahoistd", help, []string{role, "--settings", file}, io.Discard, errOut, commands...)
				errOut.Close()
			}()
			var all strings.Builder
			for lines := bufio.NewScanner(logs); lines.Scan(); {
				all.WriteString(lines.Text() + "\n")
				if strings.Contains(lines.Text(), "msg=serving") {
					terminate()
				}
			}
			if got := <-code; got != cli.CodeDone || !strings.Contains(all.String(), "msg=drained") {
				t.Errorf("exit code %d, want %d after a drain; log:\n%s", got, cli.CodeDone, all.String())
			}
		})
	}
}

// A process must not start with the settings of the other role.
func TestWrongRoleIsRefused(t *testing.T) {
	var out, errOut bytes.Buffer
	args := []string{"agent", "--settings", "../../docs/operators/entry.json"}
	code := cli.Run(t.Context(), "papayahoistd", help, args, &out, &errOut, commands...)
	if code != cli.CodeUsage || !strings.Contains(errOut.String(), `entry.json:3: key "role"`) {
		t.Errorf("exit code %d, want %d and the role's line; %s", code, cli.CodeUsage, &errOut)
	}
}
