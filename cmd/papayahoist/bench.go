package main

import (
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/bench"
	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/dispatch/preset"
)

// benchCommand holds the flags of "bench".
type benchCommand struct {
	env *cli.Env

	profile  string
	duration time.Duration
	load     float64
	seed     uint64
	policy   string
	compare  string
	faults   string
	noisy    string
	preset   string
	json     bool
	plot     string
	verbose  bool
}

func registerBench(app *kingpin.Application, env *cli.Env) {
	c := &benchCommand{env: env}
	b := app.Command("bench", "Measure entries, agents and stand-in endpoints in this process under a generated load.")
	b.Flag("profile", "Profile of the site and its load: cadwaladr or hilvana.").Default("cadwaladr").StringVar(&c.profile)
	b.Flag("duration", "How long jobs arrive.").Default("10s").DurationVar(&c.duration)
	b.Flag("load", "Offered task time over the site's capacity.").Default("0.7").Float64Var(&c.load)
	b.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&c.seed)
	b.Flag("policy", "How entries choose agents.").Default(bench.PolicyCredits).StringVar(&c.policy)
	b.Flag("compare", "Comma-separated policies to run one after another on the same arrivals.").StringVar(&c.compare)
	b.Flag("faults", "Faults to inject: none, all, or a comma-separated list.").Default("none").StringVar(&c.faults)
	b.Flag("noisy", "Contract that offers ten times its contracted share.").StringVar(&c.noisy)
	b.Flag("preset", "What to optimize for: response or messages; empty: the profile's preset.").StringVar(&c.preset)
	b.Flag("json", "Print the reports as JSON, one after another.").BoolVar(&c.json)
	b.Flag("plot", "Write an SVG plot of the response times to this file.").StringVar(&c.plot)
	b.Flag("verbose", "Print the processes' logs.").BoolVar(&c.verbose)
	b.Action(cli.Action(c.run))
}

func (c *benchCommand) run() error {
	base, err := c.config()
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	policies := []string{c.policy}
	if c.compare != "" {
		policies = strings.Split(c.compare, ",")
	}
	var reports []*bench.Report
	held := true
	for _, policy := range policies {
		config := base
		config.Policy = policy
		report, err := bench.Run(c.env.Context, config)
		if err != nil {
			return err
		}
		held = held && report.PromisesHeld()
		reports = append(reports, report)
	}
	if err := c.print(reports); err != nil {
		return err
	}
	if !held {
		return bench.ErrPromise.New("a promise was broken; see double_starts, partial_answers, lost_results, false_not_run")
	}
	return nil
}

func (c *benchCommand) config() (bench.Config, error) {
	profile, ok := bench.ProfileByName(c.profile)
	if !ok {
		return bench.Config{}, bench.ErrConfig.New("profile %q: known are cadwaladr and hilvana", c.profile)
	}
	if c.preset != "" {
		if profile.Preset, ok = preset.ByName(c.preset); !ok {
			return bench.Config{}, bench.ErrConfig.New("preset %q: known are response and messages", c.preset)
		}
	}
	faults, err := bench.ParseFaults(c.faults)
	if err != nil {
		return bench.Config{}, err
	}
	logger := slog.New(slog.DiscardHandler)
	if c.verbose {
		logger = slog.New(slog.NewTextHandler(c.env.Err, nil))
	}
	return bench.Config{
		Profile: profile, Load: c.load, Duration: c.duration, Seed: c.seed, Faults: faults, Noisy: c.noisy,
		Logger: logger, Progress: func(at time.Duration) { c.env.Progress("%s of %s", at.Truncate(time.Second), c.duration) },
	}, nil
}

func (c *benchCommand) print(reports []*bench.Report) error {
	if c.plot != "" {
		f, err := os.Create(c.plot)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := bench.WritePlot(f, reports...); err != nil {
			return err
		}
	}
	if !c.json {
		return bench.WriteTable(c.env.Out, reports...)
	}
	for _, r := range reports {
		if err := r.WriteJSON(c.env.Out); err != nil {
			return err
		}
	}
	return nil
}
