package process

import (
	"crypto/tls"

	"github.com/papayahoist/papayahoist/node/settings"
)

// entryTLS is the configuration of an entry's ports; nil for plain TCP.
type entryTLS struct{ callers, nodes, operators *tls.Config }

func loadEntryTLS(files settings.EntryTLS) (entryTLS, error) {
	var t entryTLS
	err := loadAll(
		port{files.Callers, &t.callers},
		port{files.Nodes, &t.nodes},
		port{files.Operators, &t.operators},
	)
	return t, err
}

// agentTLS is the configuration of an agent's ports; nil for plain TCP.
type agentTLS struct{ nodes, operators *tls.Config }

func loadAgentTLS(files settings.AgentTLS) (agentTLS, error) {
	var t agentTLS
	err := loadAll(port{files.Nodes, &t.nodes}, port{files.Operators, &t.operators})
	return t, err
}

// port is the files of one port and where their configuration goes.
type port struct {
	files  settings.TLSFiles
	config **tls.Config
}

func loadAll(ports ...port) error {
	for _, p := range ports {
		config, err := p.files.Server()
		if err != nil {
			return ErrStart.Wrap(err, "TLS")
		}
		*p.config = config
	}
	return nil
}
