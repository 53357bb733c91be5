package backend

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a draining instance that is offered again: whatever entry of it follows, and by
// whatever way, is older or wrong, since an instance that drains ends.
func TestDrainingInstanceIsNeverUsableAgain(t *testing.T) {
	for name, news := range map[string]func(r *Registry){
		"older entry as a change": func(r *Registry) {
			r.ApplyChanges(testStart, []Info{entryWithSequence("a", 3, false)}, nil, nil)
		},
		"older entry in a full list": func(r *Registry) {
			r.ReplaceAll(testStart, []Info{entryWithSequence("a", 3, false)}, nil)
		},
		"newer entry": func(r *Registry) {
			r.ApplyChanges(testStart, []Info{entryWithSequence("a", 9, false)}, nil, nil)
		},
		"removed and listed again": func(r *Registry) {
			r.ApplyChanges(testStart, nil, []string{"a"}, nil)
			r.ApplyChanges(testStart.Add(time.Second), []Info{entryWithSequence("a", 3, false)}, nil, nil)
		},
		"listed again after the tombstone's end": func(r *Registry) {
			r.ApplyChanges(testStart, nil, []string{"a"}, nil)
			r.ApplyChanges(testStart.Add(2*tombstoneTTL), []Info{entryWithSequence("a", 9, false)}, nil, nil)
		},
		"removed as unreadable and readable again": func(r *Registry) {
			r.ApplyChanges(testStart, nil, nil, []string{"a"})
			r.ApplyChanges(testStart, []Info{entryWithSequence("a", 9, false)}, nil, nil)
		},
		"restored store": func(r *Registry) {
			r.MarkStoreRestored(testStart)
			r.ReplaceAll(testStart.Add(2*expiryGrace), []Info{entryWithSequence("a", 3, false)}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			r.ReplaceAll(testStart, []Info{entryWithSequence("a", 4, true), entryWithSequence("b", 4, false)}, nil)
			news(r)
			if s := r.Server("a"); s != nil && !s.Info().Draining {
				t.Errorf("the instance is listed as usable with sequence number %d", s.Info().Sequence)
			}
		})
	}
}

// Guards against carrying the end of an instance over to its successor under the same ID or address.
func TestNextInstanceDoesNotInheritDraining(t *testing.T) {
	first := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", StartUnixMilli: 1000, Sequence: 7, Draining: true}
	for name, next := range map[string]Info{
		"same ID, later start":    modified(first, func(i *Info) { i.StartUnixMilli, i.Sequence, i.Draining = 2000, 1, false }),
		"same address, other ID":  modified(first, func(i *Info) { i.ID, i.StartUnixMilli, i.Draining = "b", 2000, false }),
		"same ID, other software": modified(first, func(i *Info) { i.StartUnixMilli, i.SoftwareVersion, i.Draining = 3000, "v2", false }),
	} {
		for _, removedFirst := range []bool{false, true} {
			r := NewRegistry()
			r.ReplaceAll(testStart, []Info{first}, nil)
			if removedFirst {
				r.ApplyChanges(testStart, nil, []string{"a"}, nil)
			}
			r.ApplyChanges(testStart, []Info{next}, nil, nil)
			if s := r.Server(next.ID); s == nil || s.Info().Draining {
				t.Errorf("%s, removed first %v: the new instance isn't usable", name, removedFirst)
			}
		}
	}
}

// An entry that was written earlier than the known one must not replace it, whichever way it comes.
func TestOlderEntryOfAnInstanceIsIgnored(t *testing.T) {
	known := Info{ID: "a", Addr: "127.0.0.1:1", Service: "s", StartUnixMilli: 1000, Sequence: 7, Slots: 8}
	older := modified(known, func(i *Info) { i.Sequence, i.Slots = 6, 4 })
	r := NewRegistry()
	r.ReplaceAll(testStart, []Info{known}, nil)
	r.ApplyChanges(testStart, []Info{older}, nil, nil)
	if got := *r.Server("a").Info(); got != known {
		t.Errorf("after a change: %+v", got)
	}
	r.ReplaceAll(testStart, []Info{older}, nil)
	if got := *r.Server("a").Info(); got != known {
		t.Errorf("after a full list: %+v", got)
	}
}

// In whatever order, age and way entries come, no instance that was once known as draining is usable
// later.
func TestNoOrderOfNewsRevivesADrainingInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry()
		now := testStart
		drained := map[Info]bool{}
		identity := func(i Info) Info { return Info{ID: i.ID, StartUnixMilli: i.StartUnixMilli} }
		entry := func() Info {
			return Info{
				ID: fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "id")), Addr: "127.0.0.1:1", Service: "s", StartUnixMilli: int64(rapid.IntRange(1, 3).Draw(t, "start")),
				Sequence: int64(rapid.IntRange(1, 9).Draw(t, "sequence")), Draining: rapid.Bool().Draw(t, "draining"),
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				r.ReplaceAll(now, []Info{entry(), entry()}, nil)
			case 1:
				r.ApplyChanges(now, nil, []string{entry().ID}, nil)
			case 2:
				r.ApplyChanges(now, nil, nil, []string{entry().ID})
			case 3:
				r.MarkStoreRestored(now)
			case 4:
				r.MarkStoreUnavailable()
				r.Sweep(now)
			default:
				r.ApplyChanges(now, []Info{entry()}, nil, nil)
			}
			for id := range 3 {
				s := r.Server(fmt.Sprint("s", id))
				if s == nil {
					continue
				}
				if info := *s.Info(); info.Draining {
					drained[identity(info)] = true
				} else if drained[identity(info)] {
					t.Fatalf("instance %s started at %d was draining and is usable", info.ID, info.StartUnixMilli)
				}
			}
		}
	})
}

// Guards against unbounded growth, and against forgetting the newest when there are too many.
func TestDrainingInstancesAreBounded(t *testing.T) {
	l := drainingInstances{}
	for i := range maxDraining + 50 {
		e := entryWithSequence(fmt.Sprint(i), 1, true)
		l.add(testStart.Add(time.Duration(i)*time.Millisecond), &e)
	}
	newest := entryWithSequence(fmt.Sprint(maxDraining+49), 1, false)
	if len(l) != maxDraining || !l.contains(testStart, &newest) {
		t.Errorf("%d instances are remembered, the newest among them: %v", len(l), l.contains(testStart, &newest))
	}
	e := entryWithSequence("late", 1, true)
	l.add(testStart.Add(3*drainingTTL), &e)
	if len(l) != 1 {
		t.Errorf("%d instances are remembered after they expired", len(l))
	}
}

// Guards against an instance that said of itself that it drains and is usable again after news from the
// store, which may not have taken its entry, or through a Server that was chosen before.
func TestInstanceThatSaysThatItDrainsIsNeverUsableAgain(t *testing.T) {
	ready := entryWithSequence("a", 4, false)
	for name, news := range map[string]func(r *Registry){
		"nothing":   func(*Registry) {},
		"renewed":   func(r *Registry) { r.ApplyChanges(testStart, []Info{entryWithSequence("a", 5, false)}, nil, nil) },
		"full list": func(r *Registry) { r.ReplaceAll(testStart, []Info{ready}, nil) },
		"older copy": func(r *Registry) {
			r.MarkStoreRestored(testStart)
			r.ReplaceAll(testStart, []Info{entryWithSequence("a", 3, false)}, nil)
		},
		"removed, back": func(r *Registry) {
			r.ApplyChanges(testStart, nil, []string{"a"}, nil)
			r.ApplyChanges(testStart.Add(2*tombstoneTTL), []Info{entryWithSequence("a", 5, false)}, nil, nil)
		},
	} {
		for _, marksLast := range []bool{false, true} {
			r := NewRegistry()
			r.ReplaceAll(testStart, []Info{ready}, nil)
			chosen := r.Server("a")
			if marksLast {
				news(r)
			}
			if !r.MarkDraining(testStart, chosen) || r.MarkDraining(testStart, chosen) {
				t.Errorf("%s: want the first notice only to be news", name)
			}
			if !marksLast {
				news(r)
			}
			if !r.Draining(testStart, chosen) || !r.Draining(testStart, r.Server("a")) || !r.Server("a").Info().Draining || r.CountUsable() != 0 {
				t.Errorf("%s, marked last %v: the instance is usable", name, marksLast)
			}
		}
	}
}
