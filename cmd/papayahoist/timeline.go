package main

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/cmd/internal/timeline"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// timelineCommand holds the flags of "timeline".
type timelineCommand struct {
	env    *cli.Env
	fleet  fleetFlags
	filter timeline.Filter
	// from and until are in the form that parseTime reads.
	from, until string
	format      string
	json        bool
	output      string
	logs        []string
	losses      bool
}

func registerTimeline(app *kingpin.Application, env *cli.Env) {
	c := &timelineCommand{env: env}
	command := app.Command("timeline", "Show the events of all processes, in causal order.")
	c.fleet.register(command)
	command.Flag("job", "Only this job's events.").StringVar(&c.filter.Job)
	command.Flag("contract", "Only this contract's events.").StringVar(&c.filter.Contract)
	command.Flag("worker", "Only events of this worker, or about it.").StringVar(&c.filter.Worker)
	command.Flag("from", `Only events from this time on: "2026-03-01T03:12:00Z", or "5m" for five minutes ago.`).StringVar(&c.from)
	command.Flag("until", "Only events before this time, in the same forms.").StringVar(&c.until)
	command.Flag("limit", "Maximum number of events to show; the newest are kept.").
		Default(strconv.Itoa(timeline.DefaultLimit)).IntVar(&c.filter.Limit)
	command.Flag("around", "With --job: also the concurrent events of the processes involved in the job.").
		Default("true").BoolVar(&c.filter.Around)
	command.Flag("json", `Same as "--format json".`).BoolVar(&c.json)
	command.Flag("format", "text, json, or html: one self-contained page.").Default(formatText).
		EnumVar(&c.format, formatText, formatJSON, formatHTML)
	command.Flag("logs", `Read processes' logs from this file instead of querying the processes; "-" is the standard input. May be repeated.`).
		StringsVar(&c.logs)
	command.Flag("losses", "With --logs: how many jobs were not completed within their objective, by reason, queue and second.").BoolVar(&c.losses)
	command.Flag("output", "File to write to instead of the standard output.").Short('o').StringVar(&c.output)
	command.Action(cli.Action(c.run))
}

func (c *timelineCommand) run() error {
	now := time.Now()
	var err error
	if c.filter.From, err = parseTime(c.from, now); err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	if c.filter.Until, err = parseTime(c.until, now); err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	if c.losses && len(c.logs) == 0 {
		return cli.Fail(cli.CodeUsage, errors.New("--losses needs --logs"))
	}
	if c.losses {
		return c.writeLosses()
	}
	collected, err := c.collect()
	if err != nil {
		return err
	}
	if c.output == "" {
		return c.write(c.env.Out, collected)
	}
	file, err := os.Create(c.output)
	if err != nil {
		return err
	}
	if err := c.write(file, collected); err != nil {
		_ = file.Close() // the write error is the cause
		return err
	}
	c.env.Progress("%d events of %d processes, %d missing, in %s",
		len(collected.Events), len(collected.Sources), len(collected.Missing), c.output)
	return file.Close()
}

// collect queries the processes, or reads their logs if --logs is given.
func (c *timelineCommand) collect() (*timeline.Timeline, error) {
	if len(c.logs) > 0 {
		return c.readLogs()
	}
	options, err := c.fleet.options()
	if err != nil {
		return nil, err
	}
	found, err := fleet.Discover(c.env.Context, options)
	if err != nil {
		return nil, err
	}
	return timeline.Collect(c.env.Context, found, c.filter), nil
}

func (c *timelineCommand) readLogs() (*timeline.Timeline, error) {
	readers, done, err := c.openLogs()
	defer done()
	if err != nil {
		return nil, err
	}
	return timeline.ReadLogs(readers, c.filter)
}

// openLogs opens the files of --logs. The returned done closes them; it is never nil,
// also on an error.
func (c *timelineCommand) openLogs() (readers map[string]io.Reader, done func(), err error) {
	readers = make(map[string]io.Reader)
	var files []*os.File
	done = func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for _, name := range c.logs {
		if name == "-" {
			readers[name] = os.Stdin
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return nil, done, cli.Fail(cli.CodeUsage, err)
		}
		files = append(files, file)
		readers[name] = file
	}
	return readers, done, nil
}

func (c *timelineCommand) writeLosses() error {
	readers, done, err := c.openLogs()
	defer done()
	if err != nil {
		return err
	}
	losses, err := timeline.ReadLosses(readers, c.filter)
	if err != nil {
		return err
	}
	if c.json || c.format == formatJSON {
		return json.NewEncoder(c.env.Out).Encode(losses)
	}
	return timeline.WriteLosses(c.env.Out, losses)
}

func (c *timelineCommand) write(w io.Writer, t *timeline.Timeline) error {
	if c.json {
		c.format = formatJSON
	}
	switch c.format {
	case formatJSON:
		return timeline.WriteJSON(w, t)
	case formatHTML:
		return timeline.WritePage(w, t)
	}
	return timeline.WriteText(w, t)
}

// parseTime parses a time in RFC 3339, or a duration before now. An empty text is the
// zero time.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	return time.Parse(time.RFC3339, text)
}
