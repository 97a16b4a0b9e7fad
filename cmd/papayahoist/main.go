// Command papayahoist is for operators and callers: it changes contracts,
// submits jobs, and shows what the system does.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
)

const help = "Operate papayahoist and submit jobs to it."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	code := cli.Run(ctx, "papayahoist", help, os.Args[1:], os.Stdout, os.Stderr, commands...)
	stop()
	os.Exit(int(code))
}

// commands are the subcommands, each in a file of its own, in the order of the
// help.
var commands = []cli.Register{
	registerContract,
	registerJob,
	registerStatus,
	registerTimeline,
	registerBench,
	registerDemo,
	registerStandin,
}
