package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
)

// An operator mistypes a key on the third line. The process must not start with
// a default in its place, so "check" names the key and the line and fails.
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
