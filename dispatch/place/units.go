package place

// Units returns how many credits the start of a task takes at an agent: one, or
// as many as its memory needs when each slot stands for an equal part of the
// worker's memory. A worker starts what it is given, whether it fits or not;
// since credits never exceed slots, counting in units keeps the memory reserved
// within the worker's. A result above slots means that the task never fits.
func Units(taskMemory, workerMemory uint64, slots int) int {
	if slots <= 0 || workerMemory == 0 {
		return 1
	}
	slot := workerMemory / uint64(slots)
	if slot == 0 || taskMemory > workerMemory {
		return slots + 1
	}
	// The slots' parts leave a remainder of less than a byte per slot: a task of
	// the worker's whole memory takes all slots, not one more.
	return min(int(max((taskMemory+slot-1)/slot, 1)), slots)
}
