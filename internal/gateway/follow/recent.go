package follow

import "sync"

// recentSteps bounds the steps that are kept: those of a minute in which servers are
// replaced one after the other. Who lacks more reads from the store.
const recentSteps = 256

// Step is what changed in a table between two positions.
type Step[T any] struct {
	_          struct{} `cbor:",toarray"`
	From       Position
	To         Position
	Items      []T
	Removed    []string
	Unreadable []string
	// Whole says that Items are the whole table, and that all else is gone from it.
	Whole bool
}

// recent is the newest changes of a table, to be handed to others that follow the
// same one. All methods may be called concurrently.
type recent[T any] struct {
	// mu guards what follows; nothing is locked while it is held.
	mu sync.Mutex
	// start is the position from which on steps is complete.
	start Position
	steps []Step[T]
	// whole is the table as it was at start, where the store has come back from an older
	// copy then; nil otherwise.
	whole *Step[T]
}

// reset begins anew at a position. Who knows the table as of an earlier era can go on
// from whole; nil where it can't be had.
func (r *recent[T]) reset(at Position, whole *Step[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.steps, r.whole = at, nil, whole
}

func (r *recent[T]) add(s Step[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, s)
	if len(r.steps) > recentSteps {
		r.start = r.steps[0].To
		r.steps = r.steps[1:]
		r.whole = nil
	}
}

// changed is the position after the newest change; 0 for none that is known.
func (r *recent[T]) changed() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.steps) == 0 {
		if r.whole != nil {
			return r.start
		}
		return 0
	}
	return r.steps[len(r.steps)-1].To
}

// known is the same, or, where nothing has changed since the whole table was read, the
// position of that.
func (r *recent[T]) known() Position {
	if at := r.changed(); at != 0 {
		return at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start
}

// since returns the steps after a position; false if they aren't all known.
func (r *recent[T]) since(at Position) ([]Step[T], bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var after []Step[T]
	switch {
	case r.start != 0 && at >= r.start:
	case r.whole != nil && at != 0 && at.Era() < r.whole.To.Era():
		after = append(after, *r.whole)
	default:
		return nil, false
	}
	for _, s := range r.steps {
		if s.To > at {
			after = append(after, s)
		}
	}
	return after, true
}
