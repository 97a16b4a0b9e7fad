package process

import (
	"maps"
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/platform/adapter"
	"github.com/papayahoist/papayahoist/platform/store"
)

// operatorReader applies what operators write to the platform's store: the
// configuration and the set of evacuated failure domains.
type operatorReader struct {
	entry     *LeasedEntry
	evacuated map[string]bool
}

// Snapshot implements follow.Reader.
func (r *operatorReader) Snapshot(items []store.Item, revision store.Revision) {
	r.evacuated = map[string]bool{}
	for _, i := range items {
		if domain, ok := adapter.EvacuatedDomain(i.Key); ok {
			r.evacuated[domain] = true
		}
	}
	// Evacuations precede the configuration: an entry accepts jobs once it has a
	// configuration, and must know the evacuations by then.
	r.setEvacuations(revision)
	for _, i := range items {
		r.applyConfiguration(i)
	}
	r.entry.logger.Info("store_read", "revision", uint64(revision), "items", len(items))
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
			r.applyConfiguration(v.Item)
		}
	}
}

func (r *operatorReader) setEvacuations(revision store.Revision) {
	m := &pb.Evacuations{Revision: uint64(revision)}
	for _, domain := range slices.Sorted(maps.Keys(r.evacuated)) {
		if r.evacuated[domain] {
			m.Domains = append(m.Domains, domain)
		}
	}
	r.entry.dispatcher.SetEvacuations(m)
}

// applyConfiguration puts a version of the configuration in force. If it can't be
// decoded, the version in force stays.
func (r *operatorReader) applyConfiguration(item store.Item) {
	if item.Key != adapter.ConfigurationKey {
		return
	}
	c, err := adapter.DecodeConfiguration(item.Value)
	if err != nil {
		r.entry.logger.Error("configuration_unreadable", "revision", uint64(item.Revision), "err", err)
		return
	}
	r.entry.dispatcher.SetConfiguration(c, "store")
}

// Unreachable implements follow.Reader.
func (r *operatorReader) Unreachable(err error) { r.entry.logger.Warn("store_lost", "err", err) }

// Reachable implements follow.Reader.
func (r *operatorReader) Reachable() {}
