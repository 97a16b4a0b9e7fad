package place

// Units returns how many credits the start of a task takes at an agent: one, or as
// many as its memory needs if each slot stands for an equal share of the worker's
// memory. A worker starts each task that it gets, even if its memory does not
// suffice. Since credits never exceed slots, counting in units keeps the reserved
// memory within that of the worker. A result above slots means that the task does
// not fit on the worker at all.
func Units(taskMemory, workerMemory uint64, slots int) int {
	if slots <= 0 || workerMemory == 0 {
		return 1
	}
	slot := workerMemory / uint64(slots)
	if slot == 0 || taskMemory > workerMemory {
		return slots + 1
	}
	// The division leaves a remainder of less than a byte per slot. A task that
	// needs all the memory of the worker must take all slots, not one more.
	return min(int(max((taskMemory+slot-1)/slot, 1)), slots)
}
