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
	command.Flag("seed", "Seed of the schedule and the jobs.").Default("1").Uint64Var(&c.seed)
	command.Flag("duration", "Duration of the schedule.").Default("1m").DurationVar(&c.duration)
	command.Flag("size", "Size of the site.").Default("usual").EnumVar(&c.size, "small", "usual", "fleet", "large")
	command.Flag("daemon", "The program papayahoistd; default: beside this program.").StringVar(&c.daemon)
	command.Flag("keep", "Folder for schedule, settings, logs and report; default: a temporary folder, removed if the run succeeds.").StringVar(&c.keep)
	command.Flag("replay", "Replay the schedule in this folder.").StringVar(&c.replay)
	command.Flag("untimed", "Skip the promises with a time bound, for use on a busy machine.").BoolVar(&c.untimed)
	command.Flag("json", "Print the report as JSON.").BoolVar(&c.json)
	command.Flag("verbose", "Print each action.").BoolVar(&c.verbose)
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
		c.env.Progress("kept in %s; replay it with --replay", dir)
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

// folder returns the folder of the run's files. The returned remove deletes it if it
// is temporary, and does nothing if it was given by --keep.
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
