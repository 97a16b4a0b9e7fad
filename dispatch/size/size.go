// Package size adds and compares the resources that tasks request and workers have.
package size

import (
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// Size is an amount of each resource; amounts may be negative.
type Size struct {
	CPUMillis int64
	MemoryMB  int64
	GPUs      int64
}

// FromMessage returns the Size in a message.
func FromMessage(m *pb.Size) Size {
	return Size{int64(m.GetCpuMillis()), int64(m.GetMemoryMb()), int64(m.GetGpus())}
}

// FromRoom returns the Size in a message, which may have negative amounts.
func FromRoom(m *pb.Room) Size {
	return Size{int64(m.GetCpuMillis()), int64(m.GetMemoryMb()), int64(m.GetGpus())}
}

// Message returns s as a message. The amounts of s must not be negative.
func (s Size) Message() *pb.Size {
	return &pb.Size{CpuMillis: uint32(s.CPUMillis), MemoryMb: uint32(s.MemoryMB), Gpus: uint32(s.GPUs)}
}

// RoomMessage returns s as a message that may have negative amounts.
func (s Size) RoomMessage() *pb.Room {
	return &pb.Room{CpuMillis: int32(s.CPUMillis), MemoryMb: int32(s.MemoryMB), Gpus: int32(s.GPUs)}
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.CPUMillis + o.CPUMillis, s.MemoryMB + o.MemoryMB, s.GPUs + o.GPUs}
}

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size {
	return Size{s.CPUMillis - o.CPUMillis, s.MemoryMB - o.MemoryMB, s.GPUs - o.GPUs}
}

// FitsIn reports whether room has at least s of each resource.
func (s Size) FitsIn(room Size) bool {
	return s.CPUMillis <= room.CPUMillis && s.MemoryMB <= room.MemoryMB && s.GPUs <= room.GPUs
}

// MaxShare returns the largest share that s takes of any resource of the whole. Resources that the
// whole doesn't have are ignored.
func (s Size) MaxShare(whole Size) float64 {
	share := 0.0
	for _, r := range [...][2]int64{{s.CPUMillis, whole.CPUMillis}, {s.MemoryMB, whole.MemoryMB}, {s.GPUs, whole.GPUs}} {
		if r[1] > 0 {
			share = max(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}

// CPUShare returns the share of the whole's CPU that s has, between 0 and 1.
func (s Size) CPUShare(whole Size) float64 {
	if whole.CPUMillis <= 0 {
		return 0
	}
	return min(max(float64(s.CPUMillis)/float64(whole.CPUMillis), 0), 1)
}
