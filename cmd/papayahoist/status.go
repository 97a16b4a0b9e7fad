package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/status"
)

// statusCommand holds the flags of "status".
type statusCommand struct {
	env      *cli.Env
	fleet    fleetFlags
	interval time.Duration
	format   string
	json     bool
}

func registerStatus(app *kingpin.Application, env *cli.Env) {
	c := &statusCommand{env: env}
	command := app.Command("status", "Show on one screen the alarms, the live processes, and the contracts against their limits.")
	c.fleet.register(command)
	command.Flag("interval", "Time between the two samples for the rates; 0 takes one sample.").
		Default("1s").DurationVar(&c.interval)
	command.Flag("json", `Same as "--format json".`).BoolVar(&c.json)
	command.Flag("format", "text or json.").Default(formatText).EnumVar(&c.format, formatText, formatJSON)
	command.Action(cli.Action(c.run))
}

func (c *statusCommand) run() error {
	options, err := c.fleet.options()
	if err != nil {
		return err
	}
	report, err := status.Collect(c.env.Context, options, c.interval)
	if err != nil {
		return err
	}
	if c.json || c.format == formatJSON {
		return status.WriteJSON(c.env.Out, report)
	}
	return status.WriteText(c.env.Out, report)
}
