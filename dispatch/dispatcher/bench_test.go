package dispatcher

import (
	"fmt"
	"testing"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// benchFixture has n agents with a worker each, without the checks of a test.
func benchFixture(b *testing.B, n int) *fixture {
	t := &testing.T{}
	x := newFixture(t)
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		x.attach(name, name+"-1")
	}
	return x
}

// The cost of one agent report, the most frequent input of an entry, by the number of
// agents.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := benchFixture(b, n)
			a := x.agents["a0-1"]
			b.ReportAllocs()
			for b.Loop() {
				x.now = x.now.Add(time.Millisecond)
				a.seq++
				x.d.Step(x.now, a.incarnation, a.epoch, &pb.WorkerFrame{Seq: a.seq, Ack: a.ack, State: a.currentState()})
				r := x.d.Ready(x.now)
				for _, f := range r.Frames {
					if f.Agent == a.incarnation {
						a.ack = f.Frame.Seq
					}
				}
				x.d.Next()
			}
		})
	}
}

// The cost of a job of eight tasks from its arrival to its answer, by the number of
// agents.
func BenchmarkJob(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := benchFixture(b, n)
			job := tasks(8, 100, 10*time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				x.now = x.now.Add(10 * time.Millisecond)
				if _, refused := x.submit(job); refused != nil {
					b.Fatalf("%+v", refused)
				}
				x.d.Next()
				for _, o := range x.orders() {
					x.reportOrder(o, pb.OrderState_ORDER_STATE_DONE, "", 10*time.Millisecond)
					x.d.Next()
				}
			}
		})
	}
}
