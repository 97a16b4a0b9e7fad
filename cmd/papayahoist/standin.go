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

// registerStandin registers the stand-ins for the platform, to try out the processes
// on a machine without one. They keep all data in memory and aren't for production.
func registerStandin(app *kingpin.Application, env *cli.Env) {
	c := &standinCommand{env: env}
	standin := app.Command("standin", "Serve a stand-in of the platform, to try the system out; it keeps everything in memory.")

	store := standin.Command("store", "Serve a stand-in of the platform's key-value service.")
	store.Flag("listen", "IP and port.").Default("127.0.0.1:7900").StringVar(&c.listen)
	store.Flag("reads", "Maximum reads per second; 0 means no limit.").Default("2000").Float64Var(&c.reads)
	store.Flag("writes", "Maximum writes per second; 0 means no limit.").Default("400").Float64Var(&c.writes)
	store.Action(cli.Action(func() error {
		return c.serve(kv.New(kv.Options{ReadsPerSecond: c.reads, WritesPerSecond: c.writes}))
	}))

	worker := standin.Command("endpoint", "Serve a stand-in of an endpoint on its worker. A payload such as {\"run_ms\":100,\"echo\":\"hello\"} controls a task.")
	worker.Flag("listen", "IP and port.").Default("127.0.0.1:7800").StringVar(&c.listen)
	worker.Flag("cores", "Cores of the worker.").Default("16").Uint32Var(&c.cores)
	worker.Flag("memory-gb", "Memory of the worker, in GiB.").Default("32").Uint64Var(&c.memoryGB)
	worker.Action(cli.Action(func() error {
		w := endpoint.NewWorker(endpoint.Options{Cores: c.cores, MemoryBytes: c.memoryGB << 30})
		return c.serve(w.Handler())
	}))
}

// standinGracePeriod is the time for open requests to finish at shutdown, and the
// timeout for reading a request's header.
const standinGracePeriod = 5 * time.Second

// serve serves h until the command's context is cancelled.
func (c *standinCommand) serve(h http.Handler) error {
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinGracePeriod}
	stop := context.AfterFunc(c.env.Context, func() {
		ctx, cancel := context.WithTimeout(context.Background(), standinGracePeriod)
		defer cancel()
		// Watches never end by themselves; they are closed after the grace period.
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
