// Package cli is the frame of the command lines: it runs kingpin commands on
// given streams, ends them on a signal, and turns errors into exit codes that
// scripts can rely on.
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

// Env is what commands work on. Registration functions keep it; Context is set
// when a command runs.
type Env struct {
	Context  context.Context
	Out, Err io.Writer
}

// Register adds a command to the application.
type Register func(app *kingpin.Application, env *Env)

// coded is an error with the exit code that it leads to.
type coded struct {
	code Code
	err  error
}

func (c *coded) Error() string { return c.err.Error() }
func (c *coded) Unwrap() error { return c.err }

// Fail gives err an exit code; nil stays nil.
func Fail(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &coded{code: code, err: err}
}

// exit carries kingpin's request to end the process out of its parser.
type exit struct{ code int }

// Main runs the process's own command line and exits. SIGTERM and an interrupt
// end the command in its regular way; a second signal ends the process at once.
func Main(name, help string, commands ...Register) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	code := Run(ctx, name, help, os.Args[1:], os.Stdout, os.Stderr, commands...)
	stop()
	os.Exit(int(code))
}

// Run parses the arguments, runs the command that they name until it ends or
// ctx does, and returns the exit code. Errors are written to env.Err.
func Run(ctx context.Context, name, help string, args []string, out, errOut io.Writer, commands ...Register) (code Code) {
	env := &Env{Context: ctx, Out: out, Err: errOut}
	app := kingpin.New(name, help+"\n\n"+ExitCodes)
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	app.Terminate(func(code int) { panic(exit{code}) })
	for _, register := range commands {
		register(app, env)
	}
	defer func() {
		switch caught := recover().(type) {
		case nil:
		case exit:
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
	var c *coded
	if !errors.As(err, &c) {
		fmt.Fprintf(w, "%s: %s, try --help\n", name, err)
		return CodeUsage
	}
	for _, line := range lines(c.err) {
		fmt.Fprintf(w, "%s: %s\n", name, line)
	}
	return c.code
}

// lines lists joined errors one by one.
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

// Message is an error's text without the namespace of its type.
func Message(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Cause() == nil {
		return typed.Message()
	}
	return err.Error()
}

// Action makes a command's function out of one that returns an error. Errors
// without an exit code get CodeFailure.
func Action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		err := run()
		var c *coded
		if err == nil || errors.As(err, &c) {
			return err
		}
		return Fail(CodeFailure, err)
	}
}

// JSON writes v indented, for scripts.
func (e *Env) JSON(v any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// Table writes rows of cells in aligned columns.
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

// Progress writes a line about long work to the error stream.
func (e *Env) Progress(format string, args ...any) {
	fmt.Fprintf(e.Err, format+"\n", args...)
}
