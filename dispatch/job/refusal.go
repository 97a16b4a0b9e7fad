package job

// Codes in TaskResult.error for a start that an agent has refused.
const (
	RefusedNoSlot  = "no_slot"
	RefusedMemory  = "no_memory"
	RefusedFenced  = "fenced"
	RefusedLeaving = "leaving"
	RefusedFull    = "table_full"
	RefusedRevoked = "revoked"
	RefusedForeign = "foreign_home"
)

// RefusedByAgent reports whether the code is that of an agent's refusal. Any other
// text comes from the endpoint, which has confirmed that it did not begin the task.
func RefusedByAgent(code string) bool {
	switch code {
	case RefusedNoSlot, RefusedMemory, RefusedFenced, RefusedLeaving, RefusedFull, RefusedRevoked, RefusedForeign:
		return true
	}
	return false
}
