package policy

import "time"

// ModelEngine is an engine as the decision about models sees it.
type ModelEngine struct {
	Name  string
	Model string
	// Busy is how much it has waiting and running.
	Busy int
}

// ModelMove is an order to an engine to load another model.
type ModelMove struct {
	Engine string
	Model  string
}

// minDonors is how many engines a model must have for one to be taken away: a
// model is never left without.
const minDonors = 2

// moveEvery is the least time between two moves. Loading a model takes a
// minute or so, in which the engine serves nobody; a second move before the
// first shows its effect could take engines away faster than they come back.
const moveEvery = time.Minute

// absentFor is how long a model must have had no engine before one is moved.
// An engine that restarts, or an agent that reconnects, is back sooner.
const absentFor = 15 * time.Second

// ModelMover decides which engine loads which model.
//
// It answers the loss of all engines of a model, as when the few VMs of a
// small service share a rack that fails. Without it the classes of that model
// would be refused until an operator found out. It doesn't follow load: engines
// of a model that is only busy stay where they are, since a load takes longer
// than most bursts and admission answers those.
type ModelMover struct {
	absent map[string]time.Time
	moved  time.Time
}

// NewModelMover returns a ModelMover that has seen nothing yet.
func NewModelMover() *ModelMover {
	return &ModelMover{absent: make(map[string]time.Time)}
}

// Next returns the move that is due, if any: to the first of the wanted models
// that has had no engine for long enough, from the model that has most, by its
// least busy engine.
func (m *ModelMover) Next(now time.Time, wanted []string, engines []ModelEngine) (ModelMove, bool) {
	counts := countModels(engines)
	missing, ok := m.longAbsent(now, wanted, counts)
	if !ok || now.Sub(m.moved) < moveEvery {
		return ModelMove{}, false
	}
	donor, ok := leastBusy(engines, counts)
	if !ok {
		return ModelMove{}, false
	}
	m.moved = now
	return ModelMove{Engine: donor.Name, Model: missing}, true
}

func countModels(engines []ModelEngine) map[string]int {
	counts := make(map[string]int)
	for _, e := range engines {
		counts[e.Model]++
	}
	return counts
}

// longAbsent keeps account of the wanted models without an engine and returns
// the first that has been so for long enough.
func (m *ModelMover) longAbsent(now time.Time, wanted []string, counts map[string]int) (string, bool) {
	absent := make(map[string]time.Time)
	found := ""
	for _, model := range wanted {
		if counts[model] > 0 {
			continue
		}
		since, known := m.absent[model]
		if !known {
			since = now
		}
		absent[model] = since
		if found == "" && now.Sub(since) >= absentFor {
			found = model
		}
	}
	m.absent = absent
	return found, found != ""
}

func leastBusy(engines []ModelEngine, counts map[string]int) (ModelEngine, bool) {
	var best ModelEngine
	for _, e := range engines {
		if counts[e.Model] < minDonors {
			continue
		}
		if best.Name == "" || better(e, best, counts) {
			best = e
		}
	}
	return best, best.Name != ""
}

func better(a, b ModelEngine, counts map[string]int) bool {
	if counts[a.Model] != counts[b.Model] {
		return counts[a.Model] > counts[b.Model]
	}
	if a.Busy != b.Busy {
		return a.Busy < b.Busy
	}
	return a.Name < b.Name
}
