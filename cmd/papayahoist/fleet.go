package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/papayahoist/papayahoist/cmd/internal/cli"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/node/settings"
)

// fleetFlags holds the flags of commands that query the processes.
type fleetFlags struct {
	addresses []string
	timeout   time.Duration
	tls       settings.TLSFiles
}

func (f *fleetFlags) register(command *kingpin.CmdClause) {
	command.Flag("operators", `Operators' port of any live process, "ip:port"; may be repeated. The others are found through it.`).
		Default("127.0.0.1:7402").Envar("PAPAYAHOIST_OPERATORS").StringsVar(&f.addresses)
	command.Flag("timeout", "Timeout for each request to a process.").
		Default(fleet.DefaultTimeout.String()).DurationVar(&f.timeout)
	command.Flag("tls-ca", "CA file of the operators' ports; without TLS files they are queried over plain TCP.").StringVar(&f.tls.CA)
	command.Flag("tls-cert", "Certificate file to show to the operators' ports.").StringVar(&f.tls.Cert)
	command.Flag("tls-key", "Private key file of the certificate.").StringVar(&f.tls.Key)
}

func (f *fleetFlags) options() (fleet.Options, error) {
	config, err := f.tls.ClientConfig()
	if err != nil {
		return fleet.Options{}, cli.Fail(cli.CodeUsage, err)
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return fleet.Options{
		Addresses: f.addresses,
		Dial:      fleet.DialHTTP(client, scheme),
		Timeout:   f.timeout,
	}, nil
}
