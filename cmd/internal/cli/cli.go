// Package cli runs the command lines of both binaries: it runs kingpin commands on
// the given streams, cancels them on a signal, and maps errors to stable exit codes
// for scripts.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"
)

// Code is a process's exit code.
type Code int

// Exit codes of both binaries.
const (
	CodeDone     Code = 0
	CodeFailure  Code = 1
	CodeUsage    Code = 2
	CodeNotRun   Code = 3
	CodeFailed   Code = 4
	CodeUnknown  Code = 5
	CodeConflict Code = 6
	CodeNotFound Code = 7
)

// ExitCodes documents the codes in the help of both binaries.
const ExitCodes = `Exit codes: 0 done; 1 failure; 2 wrong usage or settings; 3 not run: nothing was
started or changed; 4 failed: the job is over without an answer; 5 outcome unknown;
6 conflict: changed by someone else meanwhile; 7 not found.`

// Env is the environment of a command. Registration functions may retain it.
type Env struct {
	Context  context.Context
	Out, Err io.Writer
}

// Register adds a command to the application.
type Register func(app *kingpin.Application, env *Env)

// codedError is an error with its exit code.
type codedError struct {
	code Code
	err  error
}

func (c *codedError) Error() string { return c.err.Error() }
func (c *codedError) Unwrap() error { return c.err }

// Fail attaches an exit code to err. It returns nil if err is nil.
func Fail(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{code: code, err: err}
}

// exitRequest is the panic value that carries kingpin's request to terminate the
// process out of its parser.
type exitRequest struct{ code int }

// Main runs the process's command line and exits. SIGTERM or an interrupt cancels
// Env.Context for a graceful shutdown; a second signal terminates the process at
// once.
func Main(name, help string, commands ...Register) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	code := Run(ctx, name, help, os.Args[1:], os.Stdout, os.Stderr, commands...)
	stop()
	os.Exit(int(code))
}

// Run parses the arguments, runs the command that they name with ctx as its context,
// and returns the exit code. Errors are written to errOut.
func Run(ctx context.Context, name, help string, args []string, out, errOut io.Writer, commands ...Register) (code Code) {
	env := &Env{Context: ctx, Out: out, Err: errOut}
	app := kingpin.New(name, help+"\n\n"+ExitCodes)
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	app.Terminate(func(code int) { panic(exitRequest{code}) })
	for _, register := range commands {
		register(app, env)
	}
	defer func() {
		switch caught := recover().(type) {
		case nil:
		case exitRequest:
			code = Code(caught.code)
		default:
			panic(caught)
		}
	}()
	_, err := app.Parse(args)
	return report(name, errOut, err)
}

func report(name string, w io.Writer, err error) Code {
	if err == nil {
		return CodeDone
	}
	var c *codedError
	if !errors.As(err, &c) {
		fmt.Fprintf(w, "%s: %s, try --help\n", name, err)
		return CodeUsage
	}
	for _, line := range lines(c.err) {
		fmt.Fprintf(w, "%s: %s\n", name, line)
	}
	return c.code
}

// lines returns the messages of err, one for each error joined in it.
func lines(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{Message(err)}
	}
	var all []string
	for _, one := range joined.Unwrap() {
		all = append(all, lines(one)...)
	}
	return all
}

// Message returns an error's text without the namespace of its type.
func Message(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() == nil {
		return typed.Message()
	}
	return err.Error()
}

// Action converts run to a command's action. Errors without an exit code get
// CodeFailure.
func Action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		err := run()
		var c *codedError
		if err == nil || errors.As(err, &c) {
			return err
		}
		return Fail(CodeFailure, err)
	}
}

// JSON writes v to Out as indented JSON.
func (e *Env) JSON(v any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// Table writes rows of cells to Out in aligned columns.
func (e *Env) Table(rows [][]string) error {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// Progress writes a progress message to Err, followed by a newline.
func (e *Env) Progress(format string, args ...any) {
	fmt.Fprintf(e.Err, format+"\n", args...)
}
