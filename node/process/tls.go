package process

import (
	"context"
	"log/slog"

	"github.com/papayahoist/papayahoist/node/certs"
	"github.com/papayahoist/papayahoist/node/settings"
)

// entryTLS is the TLS files of an entry's ports.
type entryTLS struct{ callers, nodes, operators *certs.Files }

func loadEntryTLS(files settings.EntryTLS) (entryTLS, error) {
	var t entryTLS
	err := loadAll(
		port{files.Callers, &t.callers},
		port{files.Nodes, &t.nodes},
		port{files.Operators, &t.operators},
	)
	return t, err
}

// watch keeps the configurations up to date with the files.
func (t entryTLS) watch(ctx context.Context, log *slog.Logger) {
	certs.Watch(ctx, log, 0, t.callers, t.nodes, t.operators)
}

// agentTLS is the TLS files of an agent's ports.
type agentTLS struct{ nodes, operators *certs.Files }

func loadAgentTLS(files settings.AgentTLS) (agentTLS, error) {
	var t agentTLS
	err := loadAll(port{files.Nodes, &t.nodes}, port{files.Operators, &t.operators})
	return t, err
}

// watch keeps the configurations up to date with the files.
func (t agentTLS) watch(ctx context.Context, log *slog.Logger) {
	certs.Watch(ctx, log, 0, t.nodes, t.operators)
}

// port is the files of one port and where they go once loaded.
type port struct {
	files  settings.TLSFiles
	loaded **certs.Files
}

func loadAll(ports ...port) error {
	for _, p := range ports {
		loaded, err := certs.Load(p.files)
		if err != nil {
			return ErrStart.Wrap(err, "TLS")
		}
		*p.loaded = loaded
	}
	return nil
}
