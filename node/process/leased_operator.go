package process

import (
	"maps"
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/store"
)

// operatorReader takes what operators write from the platform's store: the
// configuration, and which failure domains are evacuated.
type operatorReader struct {
	e         *LeasedEntry
	evacuated map[string]bool
}

// Snapshot implements follow.Reader.
func (r *operatorReader) Snapshot(items []store.Item, at store.Revision) {
	r.evacuated = map[string]bool{}
	for _, i := range items {
		if domain, ok := adapter.EvacuatedDomain(i.Key); ok {
			r.evacuated[domain] = true
		}
	}
	// Before the configuration: an entry that takes jobs must know of both.
	r.setEvacuations(at)
	for _, i := range items {
		r.take(i)
	}
	r.e.logger.Info("store_read", "revision", uint64(at), "items", len(items))
}

// Changes implements follow.Reader.
func (r *operatorReader) Changes(events []store.Event) {
	for _, v := range events {
		if domain, ok := adapter.EvacuatedDomain(v.Item.Key); ok {
			r.evacuated[domain] = !v.Deleted
			r.setEvacuations(v.Item.Revision)
			continue
		}
		if !v.Deleted {
			r.take(v.Item)
		}
	}
}

func (r *operatorReader) setEvacuations(at store.Revision) {
	m := &pb.Evacuations{Revision: uint64(at)}
	for _, domain := range slices.Sorted(maps.Keys(r.evacuated)) {
		if r.evacuated[domain] {
			m.Domains = append(m.Domains, domain)
		}
	}
	r.e.d.SetEvacuations(m)
}

// take puts a version in force. What can't be read leaves the one in force as it is.
func (r *operatorReader) take(i store.Item) {
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
func (r *operatorReader) Lost(err error) { r.e.logger.Warn("store_lost", "err", err) }

// Reached implements follow.Reader.
func (r *operatorReader) Reached() {}
