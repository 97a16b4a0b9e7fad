package status

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
)

// nearLimit is the fraction of a limit at which an alarm is raised.
const nearLimit = 0.9

// maxNames is the maximum number of names in one alarm, so that the loss of a
// failure domain takes one line instead of the whole screen.
const maxNames = 6

// addAlarms adds the alarms in order of severity: unreachable processes, store and
// link errors, refused jobs and used-up limits, then outdated configuration.
func (r *Report) addAlarms(f *fleet.Fleet, agentFailures []fleet.Failure) {
	for _, failure := range f.Failures {
		r.alarm("%s does not answer: %s", failure.Process.Title(), failure.Reason())
	}
	if len(agentFailures) > 0 {
		r.alarm("%s not answering: %s (%s)", countAgents(len(agentFailures)),
			names(agentFailures), agentFailures[0].Reason())
	}
	for _, s := range f.Statuses {
		if s.StoreError != "" {
			r.alarm("%s can't use the platform's store: %s", s.Process, s.StoreError)
		}
	}
	r.addAgentAlarms(f.Statuses)
	r.addContractAlarms()
	r.addRevisionAlarm()
}

func countAgents(n int) string {
	if n == 1 {
		return "1 agent"
	}
	return strconv.Itoa(n) + " agents"
}

func names(failures []fleet.Failure) string {
	list := make([]string, 0, len(failures))
	for _, f := range failures {
		list = append(list, f.Process.Name)
	}
	return truncatedList(list)
}

func truncatedList(list []string) string {
	if len(list) <= maxNames {
		return strings.Join(list, ", ")
	}
	return strings.Join(list[:maxNames], ", ") + ", …"
}

// addAgentAlarms reports agents that entries aren't linked to or have suspended.
func (r *Report) addAgentAlarms(statuses []*pb.StatusResponse) {
	unlinked := map[string][]string{}  // agents by the entry that has no link
	suspended := map[string][]string{} // agents by reason
	for _, s := range statuses {
		for _, a := range s.Agents {
			name := a.GetHello().GetAgent()
			if !a.Linked && !a.Leaving {
				unlinked[s.Process] = append(unlinked[s.Process], name)
			}
			if a.Suspended != "" && !slices.Contains(suspended[a.Suspended], name) {
				suspended[a.Suspended] = append(suspended[a.Suspended], name)
			}
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(unlinked)) {
		r.alarm("%s has no link to %s: %s", entry, countAgents(len(unlinked[entry])), truncatedList(sorted(unlinked[entry])))
	}
	for _, reason := range slices.Sorted(maps.Keys(suspended)) {
		r.alarm("%s held back from work (%s): %s", countAgents(len(suspended[reason])), reason, truncatedList(sorted(suspended[reason])))
	}
}

func sorted(list []string) []string {
	slices.SortFunc(list, fleet.CompareNames)
	return list
}

func (r *Report) addContractAlarms() {
	for i := range r.Contracts {
		c := &r.Contracts[i]
		if now := sum(c.RefusedPerSecond); now > 0 {
			r.alarm("contract %s is refused %.1f jobs a second, mostly %s", c.Name, now, c.mostFrequentCode())
		}
		if full := c.nearlyFull(); len(full) > 0 {
			r.alarm("contract %s is at its limit of %s", c.Name, strings.Join(full, " and "))
		}
	}
}

// nearlyFull returns the names of the limits that are nearly used up.
func (c *Contract) nearlyFull() []string {
	var full []string
	limits := []struct {
		name        string
		used, limit float64
	}{
		{"rate", c.StartsPerSecond, c.Rate},
		{"concurrency", float64(c.Running), float64(c.Concurrency)},
		{"waiting tasks", float64(c.Waiting), float64(c.WaitingLimit)},
		{"memory", float64(c.MemoryBytes), float64(c.MemoryLimitBytes)},
	}
	for _, l := range limits {
		if l.limit > 0 && l.used >= nearLimit*l.limit {
			full = append(full, l.name)
		}
	}
	return full
}

// addRevisionAlarm reports entries whose configuration isn't the newest.
func (r *Report) addRevisionAlarm() {
	var newest uint64
	for _, e := range r.Entries {
		newest = max(newest, e.ConfigRevision)
	}
	for _, e := range r.Entries {
		if e.ConfigRevision < newest {
			r.alarm("%s is at configuration revision %d, the newest is %d", e.Name, e.ConfigRevision, newest)
		}
	}
}
