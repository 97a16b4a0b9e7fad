// Package certs reloads the TLS configuration of a port when its files change, so
// that certificates can be replaced without a restart.
//
// Files that can't be read or are inconsistent, for instance while they are being
// written, are not used: the last configuration that was loaded stays in use, and
// the failed attempt is counted. A reload does not affect open connections. New
// connections, accepted or dialed, use the last configuration that was loaded.
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

// DefaultReloadInterval is the time between checks of the files.
const DefaultReloadInterval = 10 * time.Second

// Reloader holds the TLS files of one port and the configuration loaded from them. Its
// methods are safe for concurrent use.
type Reloader struct {
	files   settings.TLSFiles
	current atomic.Pointer[tls.Config]
	failed  atomic.Uint64

	mu       sync.Mutex // serializes Reload
	contents [][]byte
}

// Load loads the files. Errors are those of settings.TLSFiles.
func Load(files settings.TLSFiles) (*Reloader, error) {
	f := &Reloader{files: files}
	if !files.Enabled() {
		return f, nil
	}
	if _, err := f.Reload(); err != nil {
		return nil, err
	}
	return f, nil
}

// Config returns the configuration to serve the port and to dial others with the
// same files, or nil if TLS is off. Its GetConfigForClient returns the last
// configuration that was loaded; dialers must call it too.
func (f *Reloader) Config() *tls.Config {
	if !f.files.Enabled() {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return f.current.Load(), nil },
	}
}

// FailedReloads returns the number of failed attempts to reload.
func (f *Reloader) FailedReloads() uint64 { return f.failed.Load() }

// Reload loads the files if they have changed, and reports whether they had. If it
// fails, the previous configuration stays in use.
func (f *Reloader) Reload() (changed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	contents, err := f.read()
	if err == nil && equalContents(contents, f.contents) {
		return false, nil
	}
	var config *tls.Config
	if err == nil {
		config, err = f.files.ServerConfig()
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

func (f *Reloader) read() ([][]byte, error) {
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

func equalContents(a, b [][]byte) bool {
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

// Watch periodically reloads the files of ports until ctx is done. The interval is
// the time between checks; if zero, DefaultReloadInterval is used. Failures are
// logged once until the files can be loaded again.
func Watch(ctx context.Context, log *slog.Logger, interval time.Duration, ports ...*Reloader) {
	interval = cmp.Or(interval, DefaultReloadInterval)
	failing := make(map[*Reloader]bool)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, f := range ports {
			if f.files.Enabled() {
				reloadPort(log, f, failing)
			}
		}
	}
}

// reloadPort reloads the files of one port and logs changes and new failures.
func reloadPort(log *slog.Logger, f *Reloader, failing map[*Reloader]bool) {
	changed, err := f.Reload()
	switch {
	case err != nil && !failing[f]:
		log.Error("TLS files can't be loaded, the last ones stay in use", "cert", f.files.Cert, "err", err)
	case changed, err == nil && failing[f]:
		log.Info("TLS files loaded", "cert", f.files.Cert)
	}
	failing[f] = err != nil
}
