package process

import (
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/store"
)

// configurationReader takes the configuration from the platform's store.
type configurationReader struct{ e *LeasedEntry }

// Snapshot implements follow.Reader.
func (r *configurationReader) Snapshot(items []store.Item, at store.Revision) {
	for _, i := range items {
		r.take(i)
	}
	r.e.logger.Info("store_read", "revision", uint64(at), "items", len(items))
}

// Changes implements follow.Reader.
func (r *configurationReader) Changes(events []store.Event) {
	for _, v := range events {
		if !v.Deleted {
			r.take(v.Item)
		}
	}
}

// take puts a version in force. What can't be read leaves the one in force as it is.
func (r *configurationReader) take(i store.Item) {
	if i.Key != adapter.ConfigurationKey {
		return
	}
	c, err := adapter.DecodeConfiguration(i.Value)
	if err != nil {
		r.e.logger.Error("configuration_unreadable", "revision", uint64(i.Revision), "err", err)
		return
	}
	if r.e.d.SetConfiguration(c) {
		r.e.logger.Info("configuration_in_force", "version", c.Version, "revision", uint64(i.Revision), "queues", len(c.Queues))
	}
}

// Lost implements follow.Reader.
func (r *configurationReader) Lost(err error) { r.e.logger.Warn("store_lost", "err", err) }

// Reached implements follow.Reader.
func (r *configurationReader) Reached() {}
