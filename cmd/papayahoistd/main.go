// Command papayahoistd runs one process of the system: an entry, or the agent
// beside an endpoint.
package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/node/settings"
)

const help = "Run one process of papayahoist: an entry or an agent.\n\nSIGTERM drains the process: it accepts no new work, finishes the work it has, and exits 0."

func main() { cli.Main("papayahoistd", help, commands...) }

var commands = []cli.Register{registerEntry, registerAgent, registerLeasedEntry, registerLeasedAgent, registerCheck}

func registerCheck(app *kingpin.Application, env *cli.Env) {
	check := app.Command("check", "Check a settings file of either role, and the TLS files that it names.")
	file := check.Arg("file", "The settings file.").Required().String()
	check.Action(cli.Action(func() error {
		role, err := settings.Check(*file)
		if err != nil {
			return cli.Fail(cli.CodeUsage, err)
		}
		_, err = fmt.Fprintf(env.Out, "%s: good settings of an %s\n", *file, role)
		return err
	}))
}
