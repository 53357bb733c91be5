package policy

import "time"

// ModelEngine describes an engine for the assignment of models.
type ModelEngine struct {
	Name  string
	Model string
	// ActiveRequests is the number of waiting and running requests.
	ActiveRequests int
}

// ModelMove is an order to an engine to load another model.
type ModelMove struct {
	Engine string
	Model  string
}

// minDonorEngines is how many engines a model needs before one of them may be
// reassigned, so that no model loses its last engine.
const minDonorEngines = 2

// minMoveInterval is the minimum time between two moves. Loading a model takes
// about a minute, during which the engine serves no requests. A second move
// before the effect of the first is visible could remove engines faster than they
// become available again.
const minMoveInterval = time.Minute

// absenceThreshold is how long a model must have had no engine before an engine
// is moved to it. A restarting engine or a reconnecting agent is back sooner.
const absenceThreshold = 15 * time.Second

// ModelMover decides which engines load which models.
//
// It handles the loss of all engines of a model, for example when the few VMs of
// a small service share a rack that fails. Without it the classes of that model
// would be refused until an operator intervened. It doesn't react to load:
// engines of a model that is merely busy keep it, because loading takes longer
// than most bursts, which admission control handles.
type ModelMover struct {
	// absentSince is when each wanted model without an engine was first seen to
	// have none.
	absentSince map[string]time.Time
	// lastMove is when the last move was returned.
	lastMove time.Time
}

// NewModelMover returns a ModelMover without history.
func NewModelMover() *ModelMover {
	return &ModelMover{absentSince: make(map[string]time.Time)}
}

// Next returns the move that is due, and false if there is none. The target is
// the first of the wanted models that has had no engine for absenceThreshold; the
// engine is the least busy one of the model with the most engines.
func (m *ModelMover) Next(now time.Time, wanted []string, engines []ModelEngine) (ModelMove, bool) {
	counts := countModels(engines)
	missing, ok := m.firstLongAbsent(now, wanted, counts)
	if !ok || now.Sub(m.lastMove) < minMoveInterval {
		return ModelMove{}, false
	}
	donor, ok := chooseDonor(engines, counts)
	if !ok {
		return ModelMove{}, false
	}
	m.lastMove = now
	return ModelMove{Engine: donor.Name, Model: missing}, true
}

// countModels returns the number of engines of each model.
func countModels(engines []ModelEngine) map[string]int {
	counts := make(map[string]int)
	for _, e := range engines {
		counts[e.Model]++
	}
	return counts
}

// firstLongAbsent updates absentSince and returns the first of the wanted models
// that has been absent for absenceThreshold.
func (m *ModelMover) firstLongAbsent(now time.Time, wanted []string, counts map[string]int) (string, bool) {
	absentSince := make(map[string]time.Time)
	firstAbsent := ""
	for _, model := range wanted {
		if counts[model] > 0 {
			continue
		}
		since, known := m.absentSince[model]
		if !known {
			since = now
		}
		absentSince[model] = since
		if firstAbsent == "" && now.Sub(since) >= absenceThreshold {
			firstAbsent = model
		}
	}
	m.absentSince = absentSince
	return firstAbsent, firstAbsent != ""
}

// chooseDonor returns the engine that is to load another model, and false if no
// model has enough engines.
func chooseDonor(engines []ModelEngine, counts map[string]int) (ModelEngine, bool) {
	var best ModelEngine
	for _, e := range engines {
		if counts[e.Model] < minDonorEngines {
			continue
		}
		if best.Name == "" || betterDonor(e, best, counts) {
			best = e
		}
	}
	return best, best.Name != ""
}

// betterDonor reports whether a is a better donor than b: its model has more
// engines, then it is less busy, then its name is smaller.
func betterDonor(a, b ModelEngine, counts map[string]int) bool {
	if counts[a.Model] != counts[b.Model] {
		return counts[a.Model] > counts[b.Model]
	}
	if a.ActiveRequests != b.ActiveRequests {
		return a.ActiveRequests < b.ActiveRequests
	}
	return a.Name < b.Name
}
