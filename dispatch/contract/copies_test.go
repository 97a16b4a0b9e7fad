package contract

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// encodedContracts returns n typical contracts in their wire encoding.
func encodedContracts(n int) [][]byte {
	all := make([][]byte, n)
	for i := range all {
		c := WithDefaults(&pb.Contract{
			Name: fmt.Sprintf("customer-%04d", i), Revision: uint64(1_000_000 + i), Rate: 150.5, Concurrency: 40,
			MemoryBytes: 1 << 36, Waiting: 2000, TokenSha256: fmt.Sprintf("%064x", i), ChangeId: fmt.Sprintf("%026d", i),
			ChangedBy: "operator-7", ChangedUnixMs: 1_800_000_000_000,
		})
		all[i], _ = proto.Marshal(c)
	}
	return all
}

// loadRegistry decodes contracts into a registry and returns it with the heap bytes that
// it takes.
func loadRegistry(b *testing.B, wire [][]byte) (*Registry, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	contracts := make([]*pb.Contract, len(wire))
	for i, text := range wire {
		contracts[i] = &pb.Contract{}
		if err := proto.Unmarshal(text, contracts[i]); err != nil {
			b.Fatal(err)
		}
	}
	r := NewRegistry()
	r.Apply(contracts, 0, 1)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return r, after.HeapAlloc - before.HeapAlloc
}

// BenchmarkCopies compares what an agent would hold and receive per hour with a full copy
// of the contracts, with a partial copy of those whose tasks it ran, and with none. The
// load is the largest planned for: 51 starts per second at an agent, distributed over the
// contracts by Zipf's law with exponent 1.1, and 11,000 changes a day.
func BenchmarkCopies(b *testing.B) {
	const startsPerHour, changesPerHour = 51 * 3600, 11_000 / 24
	for _, n := range []int{41, 4100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			wire := encodedContracts(n)
			random := rand.New(rand.NewPCG(1, 2))
			zipf := rand.NewZipf(random, 1.1, 1, uint64(n-1))
			var fullBytes, partialBytes, partialMessages int
			used := map[uint64]bool{}
			for _, text := range wire {
				fullBytes += len(text)
			}
			start := fullBytes
			for range startsPerHour {
				c := zipf.Uint64()
				if !used[c] {
					used[c] = true
					partialBytes += len(wire[c])
				}
			}
			for range changesPerHour {
				c := uint64(random.IntN(n))
				fullBytes += len(wire[c])
				if used[c] {
					partialBytes += len(wire[c])
					partialMessages++
				}
			}
			var own [][]byte
			for c := range used {
				own = append(own, wire[c])
			}
			full, fullHeap := loadRegistry(b, wire)
			partial, partialHeap := loadRegistry(b, own)
			b.ReportMetric(float64(start), "full-start-B")
			b.ReportMetric(float64(fullBytes), "full-B/h")
			b.ReportMetric(float64(changesPerHour), "full-msgs/h")
			b.ReportMetric(float64(fullHeap), "full-heap-B")
			b.ReportMetric(float64(len(used)), "partial-contracts")
			b.ReportMetric(float64(partialBytes), "partial-B/h")
			b.ReportMetric(float64(partialMessages), "partial-msgs/h")
			b.ReportMetric(float64(partialHeap), "partial-heap-B")
			runtime.KeepAlive(full)
			runtime.KeepAlive(partial)
		})
	}
}
