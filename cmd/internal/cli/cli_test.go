package cli

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

func TestRunCodes(t *testing.T) {
	command := func(err error) Register {
		return func(app *kingpin.Application, env *Env) {
			app.Command("do", "Do it.").Action(Action(func() error { return err }))
		}
	}
	tests := []struct {
		name   string
		args   []string
		err    error
		code   Code
		stderr string
	}{
		{"done", []string{"do"}, nil, CodeDone, ""},
		{"help", []string{"--help"}, nil, CodeDone, ""},
		{"unknown command", []string{"undo"}, nil, CodeUsage, "try --help"},
		{"unknown flag", []string{"do", "--fast"}, nil, CodeUsage, "try --help"},
		{"plain error", []string{"do"}, errors.New("broken"), CodeFailure, "tool: broken"},
		{"coded error", []string{"do"}, Fail(CodeUnknown, errors.New("who knows")), CodeUnknown, "tool: who knows"},
		{"two errors", []string{"do"}, Fail(CodeUsage, errors.Join(errors.New("a"), errors.New("b"))), CodeUsage, "tool: a\ntool: b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Run(t.Context(), "tool", "A tool.", test.args, &out, &errOut, command(test.err))
			if code != test.code || !strings.Contains(errOut.String(), test.stderr) {
				t.Errorf("code %d with %q, want %d with %q", code, errOut.String(), test.code, test.stderr)
			}
		})
	}
}
