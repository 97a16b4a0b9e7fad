package process

import (
	"cmp"
	"log/slog"

	"golang.org/x/sys/unix"

	"github.com/papayahoist/papayahoist/node/connlimit"
)

const (
	// defaultMemoryMB is the memory of a process whose settings don't tell it.
	defaultMemoryMB = 256
	// clientsMemoryFraction is the fraction of the process's memory that the connections and
	// requests of its clients may hold. As much again may be garbage that is not collected yet.
	clientsMemoryFraction = 0.25
	// fileDescriptors are reserved for files, but no more than a quarter of all.
	fileDescriptors = 200
)

// Fractions of the descriptors for sockets that the connections of a port may take. The rest is
// for connections that the process opens.
const (
	callersFraction = 0.65
	nodesFraction   = 0.2
	reportsFraction = 0.25
	// agentNodesFraction is that of an agent's port for entries, which open their links to it.
	agentNodesFraction = 0.5
	// operatorsFraction is that of the ports for readiness checks, metrics and operators.
	operatorsFraction = 0.04
	// minConns is the least limit of a port.
	minConns = 8
)

// clientLimits are the limits of what the clients of a process can make it hold.
type clientLimits struct {
	*connlimit.Limiter
	sockets uint64
}

func newClientLimits(memoryMB, descriptors uint32, log *slog.Logger) clientLimits {
	total := uint64(descriptors)
	if total == 0 {
		total = descriptorLimit()
	}
	memory := float64(cmp.Or(memoryMB, defaultMemoryMB)) * (1 << 20)
	l := clientLimits{
		Limiter: connlimit.New(int64(clientsMemoryFraction * memory)),
		sockets: total - min(fileDescriptors, total/4),
	}
	l.OnLimited = func(port string, evicted, refused uint64) {
		log.Warn("clients_limited", "port", port, "evicted", evicted, "refused", refused)
	}
	return l
}

// maxDescriptors is the number of descriptors that a process counts on where the operating system
// sets no lower limit.
const maxDescriptors = 1 << 16

// descriptorLimit returns how many descriptors the operating system lets the process open.
func descriptorLimit() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return min(limit.Cur, maxDescriptors)
}

// conns returns the limit of a port's connections.
func (l clientLimits) conns(fraction float64) int {
	return max(int(fraction*float64(l.sockets)), minConns)
}
