package main

import (
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/node/process"
	"github.com/papayahoist/papayahoist/node/settings"
)

func registerEntry(app *kingpin.Application, env *cli.Env) {
	command := app.Command("entry", "Run an entry.")
	file := settingsFlag(command)
	command.Action(cli.Action(func() error { return runEntry(env, *file) }))
}

func registerAgent(app *kingpin.Application, env *cli.Env) {
	command := app.Command("agent", "Run the agent beside an endpoint.")
	file := settingsFlag(command)
	command.Action(cli.Action(func() error { return runAgent(env, *file) }))
}

func settingsFlag(command *kingpin.CmdClause) *string {
	return command.Flag("settings", "The settings file; see docs/operators/settings.md.").
		Required().Envar("PAPAYAHOIST_SETTINGS").String()
}

func runEntry(env *cli.Env, file string) error {
	read, err := settings.LoadEntry(file)
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	process.SetMemoryLimit(read.ProcessMemoryMB)
	entry, err := process.NewEntry(process.EntryOptions{
		Settings: *read, Version: version(), Logger: logger(env.Err, read.LogFormat, read.LogLevel),
	})
	if err != nil {
		return err
	}
	return entry.Run(env.Context)
}

func runAgent(env *cli.Env, file string) error {
	read, err := settings.LoadAgent(file)
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	process.SetMemoryLimit(read.ProcessMemoryMB)
	agent, err := process.NewAgent(process.AgentOptions{
		Settings: *read, Version: version(), Logger: logger(env.Err, read.LogFormat, read.LogLevel),
	})
	if err != nil {
		return err
	}
	return agent.Run(env.Context)
}

// logger returns a logger to w with the given format and level. Package process
// limits its rate.
func logger(w io.Writer, format string, level slog.Level) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if format == settings.LogText {
		handler = slog.NewTextHandler(w, options)
	}
	return slog.New(handler)
}

// version returns the version of the module that this binary was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
