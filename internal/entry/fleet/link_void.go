package fleet

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/wire"
)

// voidTimeout bounds the wait for the answer to Void.
const voidTimeout = 2 * time.Second

// ErrNoAnswer: the agent could not be asked, or did not answer.
var ErrNoAnswer = errors.New("agent did not answer")

func (l *link) voided(v *wire.Voided) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.voids[v.Grant]; ok {
		delete(l.voids, v.Grant)
		answer <- v.Result
	}
}

// void asks the agent to make a grant unusable.
func (l *link) void(ctx context.Context, grant string) (wire.VoidResult, error) {
	answer := make(chan wire.VoidResult, 1)
	defer l.forgetVoid(grant)
	if !l.askVoid(grant, answer) {
		return "", ErrNoAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	select {
	case result, ok := <-answer:
		if !ok {
			return "", ErrNoAnswer
		}
		return result, nil
	case <-ctx.Done():
		return "", ErrNoAnswer
	}
}

func (l *link) askVoid(grant string, answer chan wire.VoidResult) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return false
	}
	l.voids[grant] = answer
	return l.conn.Send(wire.Message{Void: &wire.Void{Grant: grant}}) == nil
}

// forgetVoid ends the wait for an answer, also for one that didn't come: a link
// that waits is watched closely.
func (l *link) forgetVoid(grant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.voids, grant)
}
