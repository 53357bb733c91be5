package policy

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// benchTicket returns ticket i; successive ones are spread over classes, tiers and
// customers.
func benchTicket(i, customers int) Ticket {
	class := i % 12
	return Ticket{
		ID: fmt.Sprintf("request-%08d", i), Class: fmt.Sprintf("class-%02d", class), Tier: Tier(class % tierCount),
		Customer: fmt.Sprintf("customer-%03d", i%customers), Size: 500 + i%1000, Copies: 2,
	}
}

// filledQueue returns a Queue with n waiting tickets.
func filledQueue(n, customers int) *Queue {
	q := NewQueue()
	for i := range n {
		t := benchTicket(i, customers)
		q.push(testStart, newQueuedTicket(t, float64(t.Size), testStart.Add(time.Duration(i)*time.Second), false))
	}
	return q
}

// BenchmarkQueue grants the next ticket and pushes it back. B/waiting is the memory in
// bytes per waiting ticket.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		for _, customers := range []int{10, 400} {
			b.Run(fmt.Sprintf("waiting=%d/customers=%d", waiting, customers), func(b *testing.B) {
				heapBefore := heapBytes()
				q := filledQueue(waiting, customers)
				heapGrowth := heapBytes() - heapBefore
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					t := q.grant(testStart, q.next())
					q.push(testStart, newQueuedTicket(t, float64(t.Size), testStart.Add(time.Duration(i)*time.Second), false))
				}
				b.ReportMetric(float64(heapGrowth)/float64(waiting), "B/waiting")
			})
		}
	}
}

// BenchmarkScheduler offers, grants and finishes a ticket with 20 tokens while others
// wait.
func BenchmarkScheduler(b *testing.B) {
	for _, waiting := range []int{10, 1_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := NewScheduler()
			now := testStart
			for i := range waiting {
				s.Offer(now, benchTicket(i, 400))
			}
			b.ReportAllocs()
			for i := waiting; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				s.Offer(now, benchTicket(i, 400))
				s.Expire(now)
				s.Preempt(now)
				t, ok := s.Next(now)
				if !ok {
					continue
				}
				s.Started(now, t.ID)
				for range 20 {
					s.Tokens(now, t.ID, 1)
				}
				s.NextWake(now)
				s.Finished(now, t.ID, OutcomeComplete)
			}
		})
	}
}

// BenchmarkOffer offers a ticket beside 1,000 waiting ones and withdraws it if it is
// admitted.
func BenchmarkOffer(b *testing.B) {
	s := NewScheduler()
	warmUp(s)
	for i := range 1_000 {
		s.Offer(testStart, benchTicket(i, 400))
	}
	t := benchTicket(5_000, 400)
	t.Deadline = testStart.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		s.Offer(testStart, t)
		s.Withdraw(t.ID)
	}
}

// BenchmarkPick picks two of the known engines, with and without a prompt prefix.
func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{12, 100, 1_200} {
		for _, prefix := range []uint64{0, 42} {
			b.Run(fmt.Sprintf("engines=%d/prefix=%t", engines, prefix > 0), func(b *testing.B) {
				p := NewPlacer(rand.New(rand.NewPCG(1, 2)), NewEjector())
				known := candidates(engines)
				placement := PlacementRequest{Tier: 2, Zone: "zone-1", Prefix: prefix}
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(testStart, placement, known, 2)
				}
			})
		}
	}
}

// BenchmarkEjector observes failures of 1,200 engines. B/failing is the memory in bytes
// per failing engine.
func BenchmarkEjector(b *testing.B) {
	e := NewEjector()
	names := make([]string, 1_200)
	heapBefore := heapBytes()
	for i := range names {
		names[i] = fmt.Sprintf("engine-%04d", i)
		e.Observe(testStart, names[i], OutcomeFailed)
	}
	heapGrowth := heapBytes() - heapBefore
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Observe(testStart, names[i%len(names)], OutcomeFailed)
	}
	b.ReportMetric(float64(heapGrowth)/float64(len(names)), "B/failing")
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
