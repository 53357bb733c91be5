package fleet

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// statusTimeout bounds how long an operator's request waits for agents to
// report their status. Agents that answer later are shown with their last known
// status.
const statusTimeout = 500 * time.Millisecond

// RefreshStatus requests the status of all connected agents. It returns when
// all have answered, statusTimeout has passed or ctx ends. Without a request,
// agents send their status only with grants and refusals, so the last known
// status of an idle agent is from before its last run ended. A refresh costs
// 60 B per connection and is meant for operators' requests.
func (f *Fleet) RefreshStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var updates []<-chan struct{}
	for _, l := range f.snapshot() {
		if updated := l.requestStatus(); updated != nil {
			updates = append(updates, updated)
		}
	}
	for _, updated := range updates {
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

// requestStatus sends a Ping and returns a channel that is closed when the next
// Status arrives. It returns nil without a connection.
func (l *link) requestStatus() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	l.pingSeq++
	if err := l.conn.Send(wire.Message{Ping: &wire.Ping{Seq: l.pingSeq}}); err != nil {
		return nil
	}
	if l.statusUpdated == nil {
		l.statusUpdated = make(chan struct{})
	}
	return l.statusUpdated
}

// storeStatus stores a received Status and wakes the goroutines that wait for one.
// The caller must hold l.mu.
func (l *link) storeStatus(status wire.Status) {
	l.status = status
	if l.statusUpdated != nil {
		close(l.statusUpdated)
		l.statusUpdated = nil
	}
}
