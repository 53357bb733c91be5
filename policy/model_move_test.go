package policy

import (
	"testing"
	"time"
)

func TestModelWithoutAnEngineGetsOne(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	engines := []ModelEngine{{"a", "large", 3}, {"b", "large", 1}, {"c", "small", 0}}
	wanted := []string{"large", "lost", "small"}
	if move, ok := m.Next(start, wanted, engines); ok {
		t.Fatalf("moved at once: %+v", move)
	}
	move, ok := m.Next(start.Add(absentFor), wanted, engines)
	if want := (ModelMove{Engine: "b", Model: "lost"}); !ok || move != want {
		t.Fatalf("got %+v, %v; want %+v", move, ok, want)
	}
	if move, ok := m.Next(start.Add(absentFor+time.Second), wanted, engines); ok {
		t.Fatalf("moved again within a minute: %+v", move)
	}
}

func TestModelThatComesBackIsLeftAlone(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	lost := []ModelEngine{{"a", "large", 0}, {"b", "large", 0}}
	back := append([]ModelEngine{{"c", "small", 0}}, lost...)
	wanted := []string{"small"}
	m.Next(start, wanted, lost)
	m.Next(start.Add(absentFor/2), wanted, back)
	if move, ok := m.Next(start.Add(absentFor), wanted, lost); ok {
		t.Fatalf("absence was counted across its return: %+v", move)
	}
}

func TestLastEngineOfAModelStays(t *testing.T) {
	start := time.Now()
	m := NewModelMover()
	engines := []ModelEngine{{"a", "large", 0}, {"b", "small", 0}}
	wanted := []string{"lost"}
	m.Next(start, wanted, engines)
	if move, ok := m.Next(start.Add(time.Hour), wanted, engines); ok {
		t.Fatalf("took a model's last engine: %+v", move)
	}
}
