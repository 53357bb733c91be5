package policy

import (
	"testing"
	"time"
)

func TestAbsentModelIsLoaded(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	engines := []ModelEngine{{"a", "large", 3}, {"b", "large", 1}, {"c", "small", 0}}
	wanted := []string{"large", "lost", "small"}
	if move, ok := m.Next(start, wanted, engines); ok {
		t.Fatalf("engine moved without waiting for absenceThreshold: %+v", move)
	}
	move, ok := m.Next(start.Add(absenceThreshold), wanted, engines)
	if want := (ModelMove{Engine: "b", Model: "lost"}); !ok || move != want {
		t.Fatalf("got %+v, %v; want %+v", move, ok, want)
	}
	if move, ok := m.Next(start.Add(absenceThreshold+time.Second), wanted, engines); ok {
		t.Fatalf("engine moved again within minMoveInterval: %+v", move)
	}
}

func TestReturnOfModelResetsAbsence(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	lost := []ModelEngine{{"a", "large", 0}, {"b", "large", 0}}
	back := append([]ModelEngine{{"c", "small", 0}}, lost...)
	wanted := []string{"small"}
	m.Next(start, wanted, lost)
	m.Next(start.Add(absenceThreshold/2), wanted, back)
	if move, ok := m.Next(start.Add(absenceThreshold), wanted, lost); ok {
		t.Fatalf("absence counted from before the return of the model: %+v", move)
	}
}

func TestLastEngineOfModelIsKept(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	engines := []ModelEngine{{"a", "large", 0}, {"b", "small", 0}}
	wanted := []string{"lost"}
	m.Next(start, wanted, engines)
	if move, ok := m.Next(start.Add(time.Hour), wanted, engines); ok {
		t.Fatalf("last engine of a model was reassigned: %+v", move)
	}
}
