package matrix

import (
	"time"

	"github.com/applepier/applepier/internal/targets"
)

// model is the default model; all engines serve it except the one that serves lostModel.
const model = "apple-avustaja"

// Names of the classes. Their latency targets are long, because cells check
// guarantees and not latency.
const (
	classFlag    = "hazard-flag"
	classNote    = "note"
	classDocket  = "docket"
	classSummary = "summary"
)

// Customers that the cells' calls are made for.
const (
	customerLarge = "kaivonkansi"
	customerSmall = "digestate"
)

// classes returns the classes that every cell's fleet serves.
func classes() []targets.Class {
	return []targets.Class{
		{Name: classFlag, Tier: 0, Model: model, FirstToken: 20 * time.Second, Repeatable: true},
		{Name: classNote, Tier: 2, Model: model, FirstToken: 30 * time.Second, Repeatable: true},
		{Name: classDocket, Tier: 3, Model: model, FirstToken: 30 * time.Second},
		{Name: classSummary, Tier: 5, Model: model, FirstToken: 60 * time.Second, Repeatable: true},
	}
}

// lostClass returns the class of the model that loses its only engine.
func lostClass() targets.Class {
	return targets.Class{Name: classLost, Tier: 4, Model: lostModel, FirstToken: 60 * time.Second, Repeatable: true}
}

// classByName returns the class with the given name, or an empty class if there is none.
func classByName(name string) targets.Class {
	for _, class := range append(classes(), lostClass(), burstClass()) {
		if class.Name == name {
			return class
		}
	}
	return targets.Class{}
}
