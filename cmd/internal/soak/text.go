package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// WriteText writes the report in human-readable form.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, size %s, %s: %d runs, %d processes started\n", r.Seed, r.Size, r.Duration, r.Starts, r.Processes)
	fmt.Fprintf(&b, "jobs:    %s\n", counts(r.Jobs))
	fmt.Fprintf(&b, "actions: %s\n", counts(r.Actions))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "BROKEN after %v: %s: %s\n", f.At.Round(time.Millisecond), f.Promise, f.What)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}
