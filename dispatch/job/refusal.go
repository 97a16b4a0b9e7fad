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
