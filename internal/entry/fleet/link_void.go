package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// voidTimeout bounds the wait for the response to a Void message.
const voidTimeout = 2 * time.Second

// ErrNoResponse is returned if an agent could not be asked or did not respond.
var ErrNoResponse = errors.New("agent did not answer")

// handleVoided passes the response to a Void to its caller.
func (l *link) handleVoided(v *wire.Voided) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if response, ok := l.pendingVoids[v.GrantID]; ok {
		delete(l.pendingVoids, v.GrantID)
		response <- v.Result
	}
}

// void asks the agent to make a grant unusable and waits for its response.
func (l *link) void(ctx context.Context, grant string) (wire.VoidResult, error) {
	response := make(chan wire.VoidResult, 1)
	defer l.removeVoid(grant)
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

// sendVoid sends a Void and registers result for its result; false if it could
// not be sent.
func (l *link) sendVoid(grant string, response chan wire.VoidResult) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	l.pendingVoids[grant] = response
	return l.conn.Send(wire.Message{Void: &wire.Void{GrantID: grant}}) == nil
}

// removeVoid ends the wait for a response, also if none arrived: a link with a
// pending void is monitored at watchUrgent.
func (l *link) removeVoid(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingVoids, grant)
}
