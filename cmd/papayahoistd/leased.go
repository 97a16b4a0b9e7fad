package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/node/process"
	"github.com/papayahoist/papayahoist/node/settings"
)

func registerLeasedEntry(app *kingpin.Application, env *cli.Env) {
	command := app.Command("leased-entry", "Run an entry for workers that run tasks under leases.")
	file := leasedSettingsFlag(command)
	command.Action(cli.Action(func() error {
		read, err := settings.LoadLeasedEntry(*file)
		if err != nil {
			return cli.Fail(cli.CodeUsage, err)
		}
		entry, err := process.NewLeasedEntry(process.LeasedEntryOptions{Settings: *read, Out: env.Out, Version: version()})
		if err != nil {
			return err
		}
		go reload(env.Context, *file, settings.LoadLeasedEntry, entry.Reload)
		return entry.Run(env.Context)
	}))
}

func registerLeasedAgent(app *kingpin.Application, env *cli.Env) {
	command := app.Command("leased-agent", "Run the agent beside a worker that runs tasks under leases.")
	file := leasedSettingsFlag(command)
	command.Action(cli.Action(func() error {
		read, err := settings.LoadLeasedAgent(*file)
		if err != nil {
			return cli.Fail(cli.CodeUsage, err)
		}
		agent, err := process.NewLeasedAgent(process.LeasedAgentOptions{Settings: *read, Out: env.Out, Version: version()})
		if err != nil {
			return err
		}
		go reload(env.Context, *file, settings.LoadLeasedAgent, agent.Reload)
		return agent.Run(env.Context)
	}))
}

func leasedSettingsFlag(command *kingpin.CmdClause) *string {
	return command.Flag("settings", "The settings file; see docs/operators/users-platform.md.").
		Required().Envar("PAPAYAHOIST_NODE_FILE").String()
}

// reloadInterval is the interval at which the settings file is checked for changes
// that aren't announced by a signal.
const reloadInterval = 2 * time.Second

// reload applies the settings file at SIGHUP and whenever its modification time
// changes, until ctx is cancelled. A file that can't be read or is invalid is ignored.
func reload[T any](ctx context.Context, file string, load func(string) (*T, error), take func(T)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	last := modified(file)
	for {
		select {
		case <-hup:
		case <-t.C:
			if at := modified(file); at.Equal(last) {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = modified(file)
		if s, err := load(file); err == nil {
			take(*s)
		}
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
