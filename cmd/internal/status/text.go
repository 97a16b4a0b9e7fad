package status

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// maxAlarms and maxContracts limit the length of the screen. If there are more
// contracts, the quiet ones are left out.
const (
	maxAlarms    = 12
	maxContracts = 16
)

// WriteJSON writes the report as one JSON object.
func WriteJSON(w io.Writer, r *Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteText writes the report as one screen of text.
func WriteText(w io.Writer, r *Report) error {
	out := &screen{w: w}
	out.printf("papayahoist  %s UTC\n\n", r.Time.UTC().Format(time.DateTime))
	out.alarms(r.Alarms)
	out.entries(r.Entries)
	out.agents(r.Agents)
	out.contracts(r.Contracts, r.Interval)
	return out.err
}

// screen writes to w and keeps the first error.
type screen struct {
	w   io.Writer
	err error
}

func (s *screen) printf(format string, args ...any) {
	if s.err == nil {
		_, s.err = fmt.Fprintf(s.w, format, args...)
	}
}

// table writes the rows that fill adds, with aligned columns.
func (s *screen) table(fill func(row func(format string, args ...any))) {
	table := tabwriter.NewWriter(s.w, 0, 0, 2, ' ', 0)
	fill(func(format string, args ...any) {
		_, _ = fmt.Fprintf(table, format+"\n", args...) // Flush returns the first error
	})
	if err := table.Flush(); s.err == nil {
		s.err = err
	}
}

func (s *screen) alarms(alarms []string) {
	if len(alarms) == 0 {
		s.printf("ALL WELL\n\n")
		return
	}
	s.printf("ALARMS\n")
	for i, a := range alarms {
		if i == maxAlarms {
			s.printf("  and %d more; --format json has them all\n", len(alarms)-i)
			break
		}
		s.printf("  ! %s\n", a)
	}
	s.printf("\n")
}

func (s *screen) entries(entries []Entry) {
	s.table(func(row func(string, ...any)) {
		row("ENTRY\tDOMAIN\tSTATE\tUP\tREVISION\tAGENTS\tSTORE\tVERSION")
		for _, e := range entries {
			row("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s", e.Name, e.FailureDomain, state(e.Leaving), e.Uptime,
				e.ConfigRevision, e.Agents, storeState(e.StoreError), e.Version)
		}
	})
	s.printf("\n")
}

func state(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "serving"
}

func storeState(problem string) string {
	if problem != "" {
		return "LOST"
	}
	return "ok"
}

func (s *screen) agents(a Agents) {
	s.printf("AGENTS  %d known, %d linked, %d leaving, %d suspended; slots %d of %d busy; memory %s of %s reserved\n\n",
		a.Known, a.Linked, a.Leaving, a.Suspended, a.Running, a.Slots, bytesText(a.Reserved), bytesText(a.Memory))
}

func (s *screen) contracts(contracts []Contract, interval time.Duration) {
	shown := contracts
	if len(contracts) > maxContracts {
		shown = slices.DeleteFunc(slices.Clone(contracts), Contract.isIdle)
	}
	s.table(func(row func(string, ...any)) {
		row("CONTRACT\tCLASS\tSTARTS/S\tRUNNING\tMEMORY\tWAITING\tOFFERED\tSERVED\tREFUSED\tNOW/S\tMOSTLY")
		for i := range shown {
			c := &shown[i]
			now := "-"
			if interval > 0 {
				now = fmt.Sprintf("%.1f", sum(c.RefusedPerSecond))
			}
			row("%s\t%s\t%.0f/%.0f\t%d/%d\t%s/%s\t%d/%d\t%d\t%d\t%d\t%s\t%s", c.Name, c.Class, c.StartsPerSecond, c.Rate,
				c.Running, c.Concurrency, bytesText(c.MemoryBytes), bytesText(c.MemoryLimitBytes),
				c.Waiting, c.WaitingLimit, c.Offered, c.Served, sum(c.Refused), now, c.mostFrequentCode())
		}
	})
	if n := len(contracts) - len(shown); n > 0 {
		s.printf("and %d contracts at rest; --format json has them all\n", n)
	}
}

// bytesText formats a size in the smallest unit in which it is below 10240.
func bytesText(n uint64) string {
	const step = 1024
	units := []string{"B", "KiB", "MiB", "GiB", "TiB"}
	i := 0
	for n >= 10*step && i < len(units)-1 {
		n /= step
		i++
	}
	return fmt.Sprintf("%d%s", n, units[i])
}
