package process

import (
	"context"
	"log/slog"

	"github.com/papayahoist/papayahoist/node/certs"
	"github.com/papayahoist/papayahoist/node/settings"
)

// entryTLS holds the TLS files of an entry's ports.
type entryTLS struct{ callers, nodes, operators *certs.Reloader }

func loadEntryTLS(files settings.EntryTLS) (entryTLS, error) {
	var t entryTLS
	err := loadPorts(
		portFiles{files.Callers, &t.callers},
		portFiles{files.Nodes, &t.nodes},
		portFiles{files.Operators, &t.operators},
	)
	return t, err
}

// watch reloads files that have changed until the context is cancelled.
func (t entryTLS) watch(ctx context.Context, log *slog.Logger) {
	certs.Watch(ctx, log, 0, t.callers, t.nodes, t.operators)
}

// agentTLS holds the TLS files of an agent's ports.
type agentTLS struct{ nodes, operators *certs.Reloader }

func loadAgentTLS(files settings.AgentTLS) (agentTLS, error) {
	var t agentTLS
	err := loadPorts(portFiles{files.Nodes, &t.nodes}, portFiles{files.Operators, &t.operators})
	return t, err
}

// watch reloads files that have changed until the context is cancelled.
func (t agentTLS) watch(ctx context.Context, log *slog.Logger) {
	certs.Watch(ctx, log, 0, t.nodes, t.operators)
}

// portFiles names the TLS files of one port, and the variable that receives them once
// loaded.
type portFiles struct {
	files  settings.TLSFiles
	loaded **certs.Reloader
}

func loadPorts(ports ...portFiles) error {
	for _, p := range ports {
		loaded, err := certs.Load(p.files)
		if err != nil {
			return ErrStart.Wrap(err, "TLS")
		}
		*p.loaded = loaded
	}
	return nil
}
