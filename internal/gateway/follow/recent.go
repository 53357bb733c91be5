package follow

import "sync"

// recentSteps bounds the steps that are kept: those of a minute in which servers are
// replaced one after the other. Who lacks more reads from the store.
const recentSteps = 256

// Step is what changed in a table between two positions.
type Step[T any] struct {
	_          struct{} `cbor:",toarray"`
	From       uint64
	To         uint64
	Items      []T
	Removed    []string
	Unreadable []string
}

// recent is the newest changes of a table, to be handed to others that follow the
// same one. All methods may be called concurrently.
type recent[T any] struct {
	// mu guards what follows; nothing is locked while it is held.
	mu sync.Mutex
	// start is the position from which on steps is complete.
	start uint64
	steps []Step[T]
}

// reset begins anew at a position.
func (r *recent[T]) reset(at uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.steps = at, nil
}

func (r *recent[T]) add(s Step[T]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, s)
	if len(r.steps) > recentSteps {
		r.start = r.steps[0].To
		r.steps = r.steps[1:]
	}
}

// changed is the position after the newest change; 0 for none that is known.
func (r *recent[T]) changed() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.steps) == 0 {
		return 0
	}
	return r.steps[len(r.steps)-1].To
}

// known is the same, or, where nothing has changed since the whole table was read, the
// position of that.
func (r *recent[T]) known() uint64 {
	if at := r.changed(); at != 0 {
		return at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.start
}

// since returns the steps after a position; false if they aren't all known.
func (r *recent[T]) since(at uint64) ([]Step[T], bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start == 0 || at < r.start {
		return nil, false
	}
	var after []Step[T]
	for _, s := range r.steps {
		if s.To > at {
			after = append(after, s)
		}
	}
	return after, true
}
