package job

// Codes in TaskResult.error for a start that an agent has refused.
const (
	RefusedNoSlot      = "no_slot"
	RefusedNoMemory    = "no_memory"
	RefusedFenced      = "fenced"
	RefusedLeaving     = "leaving"
	RefusedTableFull   = "table_full"
	RefusedRevoked     = "revoked"
	RefusedForeignHome = "foreign_home"
)

// RefusedByAgent reports whether the code is that of an agent's refusal. Any other
// text comes from the endpoint, which has confirmed that it did not begin the task.
func RefusedByAgent(code string) bool {
	switch code {
	case RefusedNoSlot, RefusedNoMemory, RefusedFenced, RefusedLeaving, RefusedTableFull, RefusedRevoked, RefusedForeignHome:
		return true
	}
	return false
}
