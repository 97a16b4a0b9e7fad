// Command papayahoist is for operators and callers: it changes contracts,
// submits jobs, and shows what the system does.
package main

import "github.com/papayahoist/papayahoist/cmd/internal/cli"

const help = "Operate papayahoist and submit jobs to it."

func main() { cli.Main("papayahoist", help, commands...) }

// commands are the subcommands, each in a file of its own, in the order of the
// help.
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
