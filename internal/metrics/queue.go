package metrics

import gometrics "github.com/rcrowley/go-metrics"

// Queue holds the numbers of waiting and running items of a process: tickets and
// runs at an agent, requests at an entry.
type Queue struct {
	waiting gometrics.Gauge
	running gometrics.Gauge
	limit   gometrics.Gauge
}

func newQueue(registry gometrics.Registry) *Queue {
	return &Queue{
		waiting: gauge(registry, familyWaiting),
		running: gauge(registry, familyRunning),
		limit:   gauge(registry, familyRunningLimit),
	}
}

// Set sets the number of waiting and running items, and the maximum number that
// may run at once; a limit of zero means no limit.
func (q *Queue) Set(waiting, running, limit int) {
	q.waiting.Update(int64(waiting))
	q.running.Update(int64(running))
	q.limit.Update(int64(limit))
}
