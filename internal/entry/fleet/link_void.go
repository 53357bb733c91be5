package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// voidTimeout bounds the wait for the response to a Void message.
const voidTimeout = 2 * time.Second

// ErrNoResponse is returned if a Void could not be sent to the agent or the agent
// did not respond in time.
var ErrNoResponse = errors.New("agent did not answer")

// handleVoided passes the response to a Void to all goroutines that wait for it.
// Several repeats of one call may void its grant at once.
func (l *link) handleVoided(v *wire.Voided) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, response := range l.pendingVoids[v.GrantID] {
		response <- v.Result
	}
	delete(l.pendingVoids, v.GrantID)
}

// void asks the agent to make a grant unusable and waits for its response. It
// returns ErrNoResponse if there is none within voidTimeout or before ctx ends.
func (l *link) void(ctx context.Context, grant string) (wire.VoidResult, error) {
	response := make(chan wire.VoidResult, 1)
	defer l.removeVoid(grant, response)
	if !l.sendVoid(grant, response) {
		return "", ErrNoResponse
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	select {
	case result, ok := <-response:
		if !ok {
			return "", ErrNoResponse
		}
		return result, nil
	case <-ctx.Done():
		return "", ErrNoResponse
	}
}

// sendVoid sends a Void and registers the channel that receives its response. It
// returns false if the Void could not be sent.
func (l *link) sendVoid(grant string, response chan wire.VoidResult) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	l.pendingVoids[grant] = append(l.pendingVoids[grant], response)
	return l.conn.Send(wire.Message{Void: &wire.Void{GrantID: grant}}) == nil
}

// removeVoid removes a pending Void. An unanswered Void must be removed as well:
// as long as it is pending, the connection is monitored at watchUrgent.
func (l *link) removeVoid(grant string, response chan wire.VoidResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := slices.DeleteFunc(l.pendingVoids[grant], func(c chan wire.VoidResult) bool { return c == response })
	if l.pendingVoids[grant] = waiting; len(waiting) == 0 {
		delete(l.pendingVoids, grant)
	}
}
