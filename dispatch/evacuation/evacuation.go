// Package evacuation keeps which failure domains operators have evacuated: nothing may
// start on their workers until they are restored.
//
// An entry that was cut off comes back with old news. Each word is therefore the whole list as
// of a revision of the platform's store, and of two the higher revision counts.
package evacuation

import (
	"slices"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// View is what one process knows. The zero View knows of no evacuation.
type View struct{ newest *pb.Evacuations }

// Merge takes in a list, from the store or another process, and reports whether it is
// newer than what was known. The list must not be changed afterwards.
func (v *View) Merge(m *pb.Evacuations) bool {
	if m.GetRevision() <= v.newest.GetRevision() {
		return false
	}
	v.newest = m
	return true
}

// Has reports whether a failure domain is evacuated.
func (v *View) Has(domain string) bool { return slices.Contains(v.newest.GetDomains(), domain) }

// Domains are those evacuated. The slice is replaced, never changed.
func (v *View) Domains() []string { return v.newest.GetDomains() }

// Message is the newest list, nil before the first. It must not be changed.
func (v *View) Message() *pb.Evacuations { return v.newest }
