package job

// Codes in TaskResult.error of a start that an agent has refused.
const (
	RefusedNoSlot  = "no_slot"
	RefusedMemory  = "no_memory"
	RefusedFenced  = "fenced"
	RefusedLeaving = "leaving"
	RefusedFull    = "table_full"
	RefusedRevoked = "revoked"
	RefusedForeign = "foreign_home"
)

// RefusedByAgent tells an agent's refusal by its code. Other texts are of the
// endpoint, which has proven that it did not begin the task.
func RefusedByAgent(code string) bool {
	switch code {
	case RefusedNoSlot, RefusedMemory, RefusedFenced, RefusedLeaving, RefusedFull, RefusedRevoked, RefusedForeign:
		return true
	}
	return false
}
