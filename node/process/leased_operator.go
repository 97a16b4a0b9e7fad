package process

import (
	"cmp"
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
	r.applyConfigurations(items)
	r.entry.logger.Info("store_read", "revision", uint64(revision), "items", len(items))
}

// Changes implements follow.Reader.
func (r *operatorReader) Changes(events []store.Event) {
	var written []store.Item
	for _, v := range events {
		if domain, ok := adapter.EvacuatedDomain(v.Item.Key); ok {
			r.evacuated[domain] = !v.Deleted
			r.setEvacuations(v.Item.Revision)
			continue
		}
		if !v.Deleted {
			written = append(written, v.Item)
		}
	}
	r.applyConfigurations(written)
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

// applyConfigurations puts the newest of the items in force that is a configuration. It is the
// only one that is decoded, which takes long for a large one. If none is newer than the
// version in force, that stays.
func (r *operatorReader) applyConfigurations(items []store.Item) {
	type candidate struct {
		version uint64
		item    store.Item
	}
	var candidates []candidate
	for _, i := range items {
		if i.Key != adapter.ConfigurationKey {
			continue
		}
		version, err := adapter.ConfigurationVersion(i.Value)
		if err != nil {
			r.logUnreadable(i, err)
			continue
		}
		candidates = append(candidates, candidate{version, i})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.version, a.version) })
	for _, c := range candidates {
		if c.version <= r.entry.dispatcher.Configuration().GetVersion() {
			return
		}
		configuration, err := adapter.DecodeConfiguration(c.item.Value)
		if err == nil {
			r.entry.dispatcher.SetConfiguration(configuration, "store")
			return
		}
		r.logUnreadable(c.item, err)
	}
}

func (r *operatorReader) logUnreadable(item store.Item, err error) {
	r.entry.logger.Error("configuration_unreadable", "revision", uint64(item.Revision), "err", err)
}

// Unreachable implements follow.Reader.
func (r *operatorReader) Unreachable(err error) { r.entry.logger.Warn("store_lost", "err", err) }

// Reachable implements follow.Reader.
func (r *operatorReader) Reachable() {}
