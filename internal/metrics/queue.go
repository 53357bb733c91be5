package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Queue tells of the work that a process holds: tickets and runs at an agent,
// requests at an entry.
type Queue struct {
	waiting gometrics.Gauge
	running gometrics.Gauge
	limit   gometrics.Gauge
}

func newQueue(registry gometrics.Registry) *Queue {
	return &Queue{
		waiting: gauge(registry, familyWaiting),
		running: gauge(registry, familyRunning),
		limit:   gauge(registry, familyLimit),
	}
}

// Set states how many wait, how many run, and how many may run at once; limit
// is zero where there is none.
func (q *Queue) Set(waiting, running, limit int) {
	q.waiting.Update(int64(waiting))
	q.running.Update(int64(running))
	q.limit.Update(int64(limit))
}
