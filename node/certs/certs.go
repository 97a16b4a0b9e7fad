// Package certs keeps a port's TLS configuration up to date with its files, so
// that certificates are replaced without a restart.
//
// Files that can't be read or don't fit together, as while they are being
// written, change nothing: what was loaded last stays in use, and every attempt
// that fails is counted. Connections that are open go on; new ones, accepted or
// dialed, use what was loaded last.
package certs

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayahoist/papayahoist/node/settings"
)

// DefaultEvery is the time between looks at the files.
const DefaultEvery = 10 * time.Second

// Files is one port's TLS files. Its methods may be called concurrently.
type Files struct {
	files   settings.TLSFiles
	current atomic.Pointer[tls.Config]
	failed  atomic.Uint64

	mu       sync.Mutex // serializes Reload
	contents [][]byte
}

// Load reads the files. Its errors are those of settings.TLSFiles.
func Load(files settings.TLSFiles) (*Files, error) {
	f := &Files{files: files}
	if !files.Enabled() {
		return f, nil
	}
	if _, err := f.Reload(); err != nil {
		return nil, err
	}
	return f, nil
}

// Config returns the configuration to serve the port and to dial others with the
// same files; nil when TLS is off. Its GetConfigForClient gives what was loaded
// last, also to who dials.
func (f *Files) Config() *tls.Config {
	if !f.files.Enabled() {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return f.current.Load(), nil },
	}
}

// Failed counts the attempts at reloading that have failed.
func (f *Files) Failed() uint64 { return f.failed.Load() }

// Reload loads the files again if they have changed, and reports whether it did.
func (f *Files) Reload() (changed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	contents, err := f.read()
	if err == nil && same(contents, f.contents) {
		return false, nil
	}
	var config *tls.Config
	if err == nil {
		config, err = f.files.Server()
	}
	if err != nil {
		f.failed.Add(1)
		return false, err
	}
	config.NextProtos = []string{"h2", "http/1.1"}
	f.contents = contents
	f.current.Store(config)
	return true, nil
}

func (f *Files) read() ([][]byte, error) {
	var contents [][]byte
	for _, name := range []string{f.files.Cert, f.files.Key, f.files.CA} {
		if name == "" {
			continue
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, settings.Unreadable.Wrap(err, "TLS file %q", name)
		}
		contents = append(contents, content)
	}
	return contents, nil
}

func same(a, b [][]byte) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// Watch reloads the files of some ports until the context ends. Every is the time
// between looks; zero is DefaultEvery.
func Watch(ctx context.Context, log *slog.Logger, every time.Duration, ports ...*Files) {
	every = cmp.Or(every, DefaultEvery)
	broken := make(map[*Files]bool)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, f := range ports {
			if f.files.Enabled() {
				look(log, f, broken)
			}
		}
	}
}

// look reloads one port's files and logs what changed.
func look(log *slog.Logger, f *Files, broken map[*Files]bool) {
	changed, err := f.Reload()
	switch {
	case err != nil && !broken[f]:
		log.Error("TLS files can't be loaded, the last ones stay in use", "cert", f.files.Cert, "err", err)
	case changed, err == nil && broken[f]:
		log.Info("TLS files loaded", "cert", f.files.Cert)
	}
	broken[f] = err != nil
}
