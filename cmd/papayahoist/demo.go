package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/demo"
)

type demoCommand struct {
	env     *cli.Env
	options demo.Options
	keep    bool
	listen  string
	json    bool
}

func registerDemo(app *kingpin.Application, env *cli.Env) {
	c := &demoCommand{env: env}
	command := app.Command("demo", "Run a small site in this process, submit the load of both users, and check the promises.")
	command.Flag("duration", "How long jobs arrive.").Default(demo.DefaultDuration.String()).DurationVar(&c.options.Duration)
	command.Flag("load", "Offered task time over the capacity of the slots.").Default(fmt.Sprint(demo.DefaultLoad)).Float64Var(&c.options.Load)
	command.Flag("seed", "Seed of the arrivals.").Default(fmt.Sprint(demo.DefaultSeed)).Uint64Var(&c.options.Seed)
	command.Flag("faults", "Kill and restart an entry and an agent halfway through.").BoolVar(&c.options.Faults)
	command.Flag("keep", "Keep the site running until interrupted.").BoolVar(&c.keep)
	command.Flag("listen", "With --keep: the address at which the first entry serves callers.").Default("127.0.0.1:7400").StringVar(&c.listen)
	command.Flag("json", "Print the report as JSON.").BoolVar(&c.json)
	command.Action(cli.Action(c.run))
}

func (c *demoCommand) run() error {
	c.options.Progress = c.env.Progress
	c.options.Log = c.env.Err
	start := time.Now()
	c.env.Progress("starting a stand-in store, 3 entries, and 11 endpoints with their agents in 3 failure domains")
	running, err := demo.New(c.env.Context, c.options)
	if err != nil {
		return err
	}
	defer running.Stop()
	report, err := running.Run(c.env.Context)
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	c.env.Progress("demo took %s", time.Since(start).Round(time.Millisecond))
	if err := report.Err(); err != nil {
		return err
	}
	if c.keep {
		return c.serve(running)
	}
	return nil
}

// serve keeps the site running until the command's context is cancelled.
func (c *demoCommand) serve(running *demo.Demo) error {
	end, err := running.Publish(c.listen)
	if err != nil {
		return err
	}
	defer end()
	c.env.Progress("serving callers at http://%s until interrupted; all entries: %s",
		c.listen, strings.Join(running.Callers(), " "))
	c.env.Progress("operators: papayahoist status --operators %s", running.Operators())
	c.env.Progress("contracts: papayahoist contract --store %s list", running.Store())
	<-c.env.Context.Done()
	return nil
}

func (c *demoCommand) print(report *demo.Report) error {
	if c.json {
		return c.env.JSON(report)
	}
	if err := c.env.Table(report.Rows()); err != nil {
		return err
	}
	fmt.Fprintln(c.env.Out)
	return c.env.Table(report.PromiseRows())
}
