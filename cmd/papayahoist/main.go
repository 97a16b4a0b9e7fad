// Command papayahoist is the tool for operators and callers: it changes contracts,
// submits jobs, and shows the state and events of the system.
package main

import "github.com/papayahoist/papayahoist/cmd/internal/cli"

const help = "Operate papayahoist and submit jobs to it."

func main() { cli.Main("papayahoist", help, commands...) }

// commands lists the subcommands in the order of the help.
var commands = []cli.Register{
	registerContract,
	registerJob,
	registerStatus,
	registerTimeline,
	registerBench,
	registerDemo,
	registerSoak,
	registerStandin,
}
