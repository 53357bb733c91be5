package fleet

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/wire"
)

// askStatusBound is how long an operator waits for agents to tell how they
// are; those that answer later are shown as last heard.
const askStatusBound = 500 * time.Millisecond

// AskStatus asks all connected agents for their Status, and returns when they
// have answered or askStatusBound has passed. Agents tell their Status with
// grants and refusals only, so that what is known of an idle one is from
// before its last run ended. At 60 B a connection this is for operators.
func (f *Fleet) AskStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askStatusBound)
	defer cancel()
	var told []<-chan struct{}
	for _, l := range f.snapshot() {
		if answer := l.askStatus(); answer != nil {
			told = append(told, answer)
		}
	}
	for _, answer := range told {
		select {
		case <-answer:
		case <-ctx.Done():
			return
		}
	}
}

// askStatus sends a Ping; the channel is closed with the next Status. It is
// nil without a connection.
func (l *link) askStatus() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	l.pingSeq++
	if err := l.conn.Send(wire.Message{Ping: &wire.Ping{Seq: l.pingSeq}}); err != nil {
		return nil
	}
	if l.told == nil {
		l.told = make(chan struct{})
	}
	return l.told
}

// noteStatus takes in a Status; the lock is held.
func (l *link) noteStatus(s wire.Status) {
	l.status = s
	if l.told != nil {
		close(l.told)
		l.told = nil
	}
}
