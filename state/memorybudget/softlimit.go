package memorybudget

const (
	// softLimitShare is the share of memory at which the garbage collector runs more
	// often to stay below it.
	softLimitShare = 0.7
	// unmanagedBytes is the part of the memory that the garbage collector doesn't count:
	// mapped pages of the binary, 21 MB when all have been used.
	unmanagedBytes = 24 << 20
	// minSoftLimit is the least soft limit, so that a process with a tiny limit doesn't
	// only collect garbage.
	minSoftLimit = 8 << 20
)

// SoftLimit returns the limit in bytes for debug.SetMemoryLimit in a process that has the
// given memory.
func SoftLimit(memory int64) int64 {
	return max(int64(softLimitShare*float64(memory-unmanagedBytes)), minSoftLimit)
}
