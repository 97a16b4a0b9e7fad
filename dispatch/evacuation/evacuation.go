// Package evacuation tracks the failure domains that operators have evacuated: nothing may
// start on their workers until they are restored.
//
// An entry that was partitioned comes back with old state. Each message is therefore the whole
// list as of a revision of the platform's store, and the highest revision applies.
package evacuation

import (
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// View is one process's view. The zero View holds no evacuation.
type View struct{ newest *pb.Evacuations }

// Merge applies a list, from the store or another process, and reports whether it is newer
// than the current one. The list must not be changed afterwards.
func (v *View) Merge(m *pb.Evacuations) bool {
	if m.GetRevision() <= v.newest.GetRevision() {
		return false
	}
	v.newest = m
	return true
}

// Has reports whether a failure domain is evacuated.
func (v *View) Has(domain string) bool { return slices.Contains(v.newest.GetDomains(), domain) }

// Domains returns the evacuated failure domains. The slice is replaced, never changed.
func (v *View) Domains() []string { return v.newest.GetDomains() }

// Message returns the newest list; nil before the first. It must not be changed.
func (v *View) Message() *pb.Evacuations { return v.newest }
