package matrix

import (
	"time"

	"github.com/applepier/applepier/internal/targets"
)

// model is what all engines of a cell run.
const model = "apple-avustaja"

// Names of the classes. The latency targets are far off: cells look at what
// is promised, not at how fast it is.
const (
	classFlag    = "hazard-flag"
	classNote    = "note"
	classDocket  = "docket"
	classSummary = "summary"
)

// Customers of the cells' calls.
const (
	customerLarge = "kaivonkansi"
	customerSmall = "digestate"
)

func classes() []targets.Class {
	return []targets.Class{
		{Name: classFlag, Tier: 0, Model: model, FirstToken: 20 * time.Second, Repeatable: true},
		{Name: classNote, Tier: 2, Model: model, FirstToken: 30 * time.Second, Repeatable: true},
		{Name: classDocket, Tier: 3, Model: model, FirstToken: 30 * time.Second},
		{Name: classSummary, Tier: 5, Model: model, FirstToken: 60 * time.Second, Repeatable: true},
	}
}

// lostClass is the class of the model that loses its engine.
func lostClass() targets.Class {
	return targets.Class{Name: classLost, Tier: 4, Model: lostModel, FirstToken: 60 * time.Second, Repeatable: true}
}

func classOf(name string) targets.Class {
	for _, class := range append(classes(), lostClass(), burstClass()) {
		if class.Name == name {
			return class
		}
	}
	return targets.Class{}
}
