package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/node/settings"
)

// jobCommand holds the flags of "job" and its subcommands.
type jobCommand struct {
	env *cli.Env

	entries   []string
	tokenFile string
	tls       settings.TLSFiles
	json      bool

	contract, kind, id string
	firstSent          string
	timeout            time.Duration
	payloads, files    []string
	repeat             int
	memory             uint64
	cpu, run           uint32
	wait               bool
}

func registerJob(app *kingpin.Application, env *cli.Env) {
	c := &jobCommand{env: env}
	job := app.Command("job", "Submit jobs, fetch their answers, cancel them.")
	job.Flag("entry", "Base URL of an entry or of the balancer; may be repeated.").
		Default("http://127.0.0.1:7400").Envar("PAPAYAHOIST_ENTRY").StringsVar(&c.entries)
	job.Flag("token-file", "File that holds the contract's bearer token.").
		Envar("PAPAYAHOIST_TOKEN_FILE").StringVar(&c.tokenFile)
	job.Flag("tls-ca", "CA file of the entries' certificates; empty: the system's.").StringVar(&c.tls.CA)
	job.Flag("contract", "Contract that the job is accounted to.").Required().StringVar(&c.contract)
	job.Flag("json", "Print the answer as JSON.").BoolVar(&c.json)

	submit := job.Command("submit", "Submit a job and wait for its whole answer.")
	submit.Flag("kind", "Kind of the tasks; sizes are learned per kind.").Required().StringVar(&c.kind)
	submit.Flag("payload", "Payload of one task; may be repeated.").StringsVar(&c.payloads)
	submit.Flag("payload-file", "File with the payload of one task; may be repeated.").StringsVar(&c.files)
	submit.Flag("repeat", "Number of tasks for each payload.").Default("1").IntVar(&c.repeat)
	submit.Flag("timeout", "Timeout of the job, and of the wait for it; 0 means the contract's default.").Default("30s").DurationVar(&c.timeout)
	submit.Flag("memory-bytes", "Expected memory of a task, in bytes.").Uint64Var(&c.memory)
	submit.Flag("cpu-millis", "Expected CPU of a task, in thousandths of a core.").Uint32Var(&c.cpu)
	submit.Flag("run-ms", "Expected run time of a task, in milliseconds.").Uint32Var(&c.run)
	submit.Flag("id", "Job id from an earlier submission, to send that job again.").StringVar(&c.id)
	submit.Flag("first-sent", `With an id that is a key of your own: when it was first sent, such as "2026-03-01T03:12:00Z"; the same each time.`).
		StringVar(&c.firstSent)
	submit.Action(cli.Action(c.submit))

	get := job.Command("get", "Fetch the answer of a job submitted before.")
	get.Arg("id", "The job's id.").Required().StringVar(&c.id)
	get.Flag("wait", "Wait until the job has its answer.").BoolVar(&c.wait)
	get.Action(cli.Action(c.get))

	cancel := job.Command("cancel", "Cancel a job.")
	cancel.Arg("id", "The job's id.").Required().StringVar(&c.id)
	cancel.Action(cli.Action(c.cancel))
}

func (c *jobCommand) client() (*client.Client, error) {
	var token string
	if c.tokenFile != "" {
		text, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, cli.Fail(cli.CodeUsage, err)
		}
		token = strings.TrimSpace(string(text))
	}
	options := client.Options{Addresses: c.entries, Token: token}
	config, err := c.tls.ClientConfig()
	if err != nil {
		return nil, cli.Fail(cli.CodeUsage, err)
	}
	if config != nil {
		options.HTTPClient = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	}
	made, err := client.New(options)
	return made, cli.Fail(cli.CodeUsage, err)
}

func (c *jobCommand) submit() error {
	tasks, err := c.tasks()
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	firstSent, err := c.firstSentTime()
	if err != nil {
		return cli.Fail(cli.CodeUsage, err)
	}
	entries, err := c.client()
	if err != nil {
		return err
	}
	answer, err := entries.Submit(c.env.Context, client.Job{
		ID: c.id, FirstSent: firstSent, Contract: c.contract, Kind: c.kind, Timeout: c.timeout, Tasks: tasks,
	})
	if err != nil {
		return c.fail(err)
	}
	return c.print(answer)
}

func (c *jobCommand) firstSentTime() (time.Time, error) {
	if c.firstSent == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, c.firstSent)
}

func (c *jobCommand) tasks() ([]jobs.Task, error) {
	payloads := make([][]byte, 0, len(c.payloads)+len(c.files))
	for _, payload := range c.payloads {
		payloads = append(payloads, []byte(payload))
	}
	for _, file := range c.files {
		payload, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		payloads = append(payloads, payload)
	}
	if len(payloads) == 0 {
		payloads = append(payloads, nil)
	}
	var tasks []jobs.Task
	for _, payload := range payloads {
		for range c.repeat {
			tasks = append(tasks, jobs.Task{Payload: payload, MemoryBytes: c.memory, CPUMillis: c.cpu, RunMillis: c.run})
		}
	}
	return tasks, nil
}

func (c *jobCommand) get() error {
	entries, err := c.client()
	if err != nil {
		return err
	}
	for {
		answer, err := entries.Get(c.env.Context, c.contract, c.id)
		switch {
		case err != nil:
			return c.fail(err)
		case answer != nil:
			return c.print(answer)
		case !c.wait:
			return c.printRunning()
		}
	}
}

func (c *jobCommand) cancel() error {
	entries, err := c.client()
	if err != nil {
		return err
	}
	if err := entries.Cancel(c.env.Context, c.contract, c.id); err != nil {
		return c.fail(err)
	}
	c.env.Progress("cancelled %s", c.id)
	return nil
}

// fail attaches to a client's error the exit code of its outcome. With --json, it
// writes the same error object to the output as an entry returns.
func (c *jobCommand) fail(err error) error {
	code, outcome := codeOf(err)
	if c.json {
		body := jobs.Error{
			ID: client.JobOf(err), Code: client.CodeOf(err), Outcome: outcome, Message: cli.Message(err),
			RetryAfterMillis: uint32(client.RetryAfterOf(err).Milliseconds()),
		}
		if jsonErr := c.env.JSON(body); jsonErr != nil {
			return jsonErr
		}
	}
	if id := client.JobOf(err); id != "" {
		c.env.Progress("job %s", id)
	}
	return cli.Fail(code, err)
}

func codeOf(err error) (cli.Code, jobs.Outcome) {
	switch {
	case errorx.IsOfType(err, client.Misuse):
		return cli.CodeUsage, jobs.OutcomeNotRun
	case errorx.IsOfType(err, client.NotRun):
		return cli.CodeNotRun, jobs.OutcomeNotRun
	case errorx.IsOfType(err, client.Failed):
		return cli.CodeFailed, jobs.OutcomeFailed
	case errorx.IsOfType(err, client.NotFound):
		return cli.CodeNotFound, ""
	default:
		return cli.CodeUnknown, jobs.OutcomeUnknown
	}
}

func (c *jobCommand) printRunning() error {
	if c.json {
		return c.env.JSON(jobs.Response{ID: c.id, State: jobs.StateRunning})
	}
	_, err := fmt.Fprintf(c.env.Out, "job %s is running\n", c.id)
	return err
}

func (c *jobCommand) print(answer *client.Answer) error {
	if c.json {
		return c.env.JSON(jobs.Response{ID: answer.ID, State: jobs.StateComplete, Results: answer.Results})
	}
	rows := [][]string{{"TASK", "RUN", "RESULT"}}
	for _, result := range answer.Results {
		run := time.Duration(result.RunMillis) * time.Millisecond
		rows = append(rows, []string{strconv.FormatUint(uint64(result.Task), 10), run.String(), formatBody(result.Body)})
	}
	if _, err := fmt.Fprintf(c.env.Out, "job %s is complete\n", answer.ID); err != nil {
		return err
	}
	return c.env.Table(rows)
}

// formatBody formats a result's body as one line of limited length: as text if it is
// valid UTF-8, otherwise in base64.
func formatBody(body []byte) string {
	const most = 60
	text := string(body)
	if !utf8.Valid(body) {
		text = "base64:" + base64.StdEncoding.EncodeToString(body)
	}
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	if runes := []rune(text); len(runes) > most {
		return string(runes[:most]) + "..."
	}
	return text
}
