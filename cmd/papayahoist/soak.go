package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/soak"
)

type soakCommand struct {
	env      *cli.Env
	seed     uint64
	duration time.Duration
	size     string
	daemon   string
	keep     string
	replay   string
	json     bool
	untimed  bool
	verbose  bool
}

func registerSoak(app *kingpin.Application, env *cli.Env) {
	c := &soakCommand{env: env}
	command := app.Command("soak", "Run entries and agents as processes, inject faults on a seed's schedule, and check the promises.")
	command.Flag("seed", "Fixes the schedule and the jobs.").Default("1").Uint64Var(&c.seed)
	command.Flag("duration", "How long it plays.").Default("1m").DurationVar(&c.duration)
	command.Flag("size", "Of the site.").Default("usual").EnumVar(&c.size, "small", "usual", "fleet", "large")
	command.Flag("daemon", "The program papayahoistd; default: beside this program.").StringVar(&c.daemon)
	command.Flag("keep", "Folder for schedule, settings, logs and report; default: one that is removed when all went well.").StringVar(&c.keep)
	command.Flag("replay", "Play the schedule in this folder again.").StringVar(&c.replay)
	command.Flag("untimed", "Leave out the promises with a time bound, on a machine that is busy.").BoolVar(&c.untimed)
	command.Flag("json", "Print the report as JSON.").BoolVar(&c.json)
	command.Flag("verbose", "Tell of each action.").BoolVar(&c.verbose)
	command.Action(cli.Action(c.run))
}

func (c *soakCommand) run() error {
	schedule, err := c.schedule()
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	if c.daemon == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.daemon = filepath.Join(filepath.Dir(self), "papayahoistd")
	}
	dir, remove, err := c.folder()
	if err != nil {
		return err
	}
	o := soak.Options{Schedule: schedule, DaemonPath: c.daemon, OutputDir: dir, Untimed: c.untimed}
	if c.verbose {
		o.Progress = c.env.Progress
	}
	report, err := soak.Run(c.env.Context, o)
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if err := report.Err(); err != nil {
		c.env.Progress("kept in %s; play it again with --replay", dir)
		return err
	}
	return remove()
}

func (c *soakCommand) schedule() (soak.Schedule, error) {
	if c.replay != "" {
		return soak.ReadSchedule(filepath.Join(c.replay, soak.ScheduleFile))
	}
	size, ok := soak.SizeByName(c.size)
	if !ok {
		return soak.Schedule{}, soak.ErrOptions.New("size %q", c.size)
	}
	return soak.Plan(c.seed, c.duration, size)
}

// folder is where the run is kept; remove does so only for one of its own.
func (c *soakCommand) folder() (dir string, remove func() error, err error) {
	if c.keep != "" {
		return c.keep, func() error { return nil }, os.MkdirAll(c.keep, 0o700)
	}
	dir, err = os.MkdirTemp("", "papayahoist-soak-")
	return dir, func() error { return os.RemoveAll(dir) }, err
}

func (c *soakCommand) print(r *soak.Report) error {
	if c.json {
		e := json.NewEncoder(c.env.Out)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return r.WriteText(c.env.Out)
}
