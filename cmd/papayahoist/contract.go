package main

import (
	"cmp"
	"crypto/rand"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/node/config"
	"github.com/papayahoist/papayahoist/platform/store/etcdv3"
)

// contractCommand holds the flags of "contract" and its subcommands.
type contractCommand struct {
	env   *cli.Env
	fleet fleetFlags

	store string
	json  bool

	name, file, changeID, by string
	revision                 uint64
	rebase                   bool
	wait                     time.Duration
}

func registerContract(app *kingpin.Application, env *cli.Env) {
	c := &contractCommand{env: env}
	command := app.Command("contract", "Read and change customers' contracts in the platform's key-value service.")
	command.Flag("store", `Base URL of the key-value service, "http://ip:port".`).
		Default("http://127.0.0.1:7900").Envar("PAPAYAHOIST_STORE").StringVar(&c.store)
	command.Flag("json", "Print JSON.").BoolVar(&c.json)
	c.registerReading(command)
	c.registerChanging(command)
}

func (c *contractCommand) registerReading(command *kingpin.CmdClause) {
	command.Command("list", "List all contracts.").Action(cli.Action(c.list))

	get := command.Command("get", "Print a contract as JSON, in the form that apply reads.")
	get.Arg("name", "The contract.").Required().StringVar(&c.name)
	get.Action(cli.Action(c.get))

	diff := command.Command("diff", "Show what applying a file would change.")
	diff.Arg("file", "JSON with comments.").Required().StringVar(&c.file)
	diff.Action(cli.Action(c.diff))

	history := command.Command("history", "Show a contract's recent revisions: when, by whom, what.")
	history.Arg("name", "The contract.").Required().StringVar(&c.name)
	history.Action(cli.Action(c.history))
}

func (c *contractCommand) registerChanging(command *kingpin.CmdClause) {
	apply := command.Command("apply", "Create a contract, or change it from the revision that the file names.")
	apply.Arg("file", `JSON with comments; "contract get" prints one to start from.`).Required().StringVar(&c.file)
	apply.Flag("rebase", "Apply the change on top of the changes made since the file's revision.").BoolVar(&c.rebase)
	c.registerChange(apply)
	apply.Action(cli.Action(c.apply))

	rollback := command.Command("rollback", "Restore the terms of an earlier revision as a new revision.")
	rollback.Arg("name", "The contract.").Required().StringVar(&c.name)
	rollback.Arg("revision", "The earlier revision, from history.").Required().Uint64Var(&c.revision)
	c.registerChange(rollback)
	rollback.Action(cli.Action(c.rollback))

	remove := command.Command("delete", "Delete a contract; its callers are refused from then on.")
	remove.Arg("name", "The contract.").Required().StringVar(&c.name)
	c.registerChange(remove)
	remove.Action(cli.Action(c.remove))
}

func (c *contractCommand) registerChange(command *kingpin.CmdClause) {
	command.Flag("change-id", "Identifies the change. If the outcome of a change is not known, repeat the command with the id that it printed; the change is applied at most once.").
		StringVar(&c.changeID)
	command.Flag("by", "Who makes the change, for the history.").Envar("USER").Required().StringVar(&c.by)
	command.Flag("wait", "Maximum wait until the change is in force on every process that can be reached.").
		Default("0s").DurationVar(&c.wait)
	c.fleet.register(command)
}

func (c *contractCommand) editor() *config.Editor {
	return config.NewEditor(etcdv3.New(c.store, etcdv3.Options{}), config.EditorOptions{})
}

// newChangeID returns the change ID given by the flag, or generates one.
func (c *contractCommand) newChangeID() string {
	c.changeID = cmp.Or(c.changeID, rand.Text())
	return c.changeID
}
