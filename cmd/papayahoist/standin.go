package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/platform/standin/endpoint"
	"github.com/papayahoist/papayahoist/platform/standin/kv"
)

// standinCommand holds the flags of "standin" and its subcommands.
type standinCommand struct {
	env    *cli.Env
	listen string

	reads, writes float64

	cores    uint32
	memoryGB uint64
}

// registerStandin adds what takes the platform's place on a machine without one:
// to try the processes out, never for work that matters.
func registerStandin(app *kingpin.Application, env *cli.Env) {
	c := &standinCommand{env: env}
	standin := app.Command("standin", "Serve a stand-in of the platform, to try the system out; it keeps everything in memory.")

	store := standin.Command("store", "Serve a stand-in of the platform's key-value service.")
	store.Flag("listen", "IP and port.").Default("127.0.0.1:7900").StringVar(&c.listen)
	store.Flag("reads", "Reads per second that it takes; 0 takes any number.").Default("2000").Float64Var(&c.reads)
	store.Flag("writes", "Writes per second that it takes; 0 takes any number.").Default("400").Float64Var(&c.writes)
	store.Action(cli.Action(func() error {
		return c.serve(kv.New(kv.Options{ReadsPerSecond: c.reads, WritesPerSecond: c.writes}))
	}))

	worker := standin.Command("endpoint", "Serve a stand-in of an endpoint on its worker. A payload such as {\"run_ms\":100,\"echo\":\"hello\"} drives a task.")
	worker.Flag("listen", "IP and port.").Default("127.0.0.1:7800").StringVar(&c.listen)
	worker.Flag("cores", "Cores of the worker.").Default("16").Uint32Var(&c.cores)
	worker.Flag("memory-gb", "Memory of the worker, in GiB.").Default("32").Uint64Var(&c.memoryGB)
	worker.Action(cli.Action(func() error {
		w := endpoint.NewWorker(endpoint.Options{Cores: c.cores, MemoryBytes: c.memoryGB << 30})
		return c.serve(w.Handler())
	}))
}

const standinGrace = 5 * time.Second

// serve serves until the command is ended by a signal.
func (c *standinCommand) serve(h http.Handler) error {
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinGrace}
	stop := context.AfterFunc(c.env.Context, func() {
		ctx, cancel := context.WithTimeout(context.Background(), standinGrace)
		defer cancel()
		// Watches wait for ever; after the grace they are cut off.
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	c.env.Progress("serving on %s", ln.Addr())
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
