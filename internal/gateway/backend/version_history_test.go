package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/applepier/applepier/policy"
)

// Guards against a stream that is continued at the only version of a list that was only just read, or
// from which another version has been removed a moment ago.
func TestVersionsWithinWindow(t *testing.T) {
	const window = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r, chat := NewRegistry(), policy.KeyOf("chat")
		server := func(id, version string) Info {
			return Info{ID: id, Addr: "127.0.0.1:" + id, Service: "chat", SoftwareVersion: version, Slots: 1}
		}
		expect := func(what string, want Versions) {
			t.Helper()
			if got := r.VersionsWithin(time.Now(), chat, window); got != want {
				t.Errorf("%s: got %+v, want %+v", what, got, want)
			}
		}
		onlyV1, onlyV2, several := Versions{Only: policy.KeyOf("v1")}, Versions{Only: policy.KeyOf("v2")}, Versions{Several: true}
		expect("no list", Versions{})
		r.ReplaceAll(time.Now(), []Info{server("1", "v1"), server("2", "v1")}, nil)
		expect("list just read", Versions{})
		time.Sleep(window)
		expect("list known for long", onlyV1)

		r.ApplyChanges(time.Now(), []Info{server("3", "v2")}, nil, nil)
		expect("a server of another version", several)
		draining := server("1", "v1")
		draining.Draining = true
		r.ApplyChanges(time.Now(), []Info{draining}, []string{"2"}, nil)
		time.Sleep(2 * window)
		expect("the last server of the first version drains", several)
		r.MarkReplaced("1")
		expect("the last server of the first version was replaced", several)
		r.ApplyChanges(time.Now(), nil, []string{"1"}, nil)
		time.Sleep(window - time.Second)
		expect("the last server of the first version was removed", several)
		time.Sleep(2 * time.Second)
		expect("removed for longer than the window", onlyV2)

		r.ApplyChanges(time.Now(), []Info{server("4", "")}, nil, nil)
		expect("a server of unknown version", several)
		if got := r.VersionsWithin(time.Now(), policy.KeyOf("other"), window); got != (Versions{}) {
			t.Errorf("another service: got %+v", got)
		}
	})
}

// Guards against a stream that is continued at a server that restarted under its ID at another version:
// the new instance must not count as the old one, though the list gives no start time.
func TestInstanceOfOtherVersionIsAnotherInstance(t *testing.T) {
	r, removed := NewRegistry(), 0
	r.OnRemove = func(string) { removed++ }
	info := Info{ID: "i-1", Addr: "127.0.0.1:1", Service: "chat", SoftwareVersion: "v1", Sequence: 1, Slots: 1}
	r.ReplaceAll(time.Now(), []Info{info}, nil)
	first := r.Server("i-1")
	info.Sequence, info.SoftwareVersion = 2, ""
	r.ApplyChanges(time.Now(), []Info{info}, nil, nil)
	if r.Server("i-1") != first {
		t.Error("an entry without a version is taken for another instance")
	}
	info.Sequence, info.SoftwareVersion = 3, "v1"
	r.ApplyChanges(time.Now(), []Info{info}, nil, nil)
	info.Sequence, info.SoftwareVersion = 4, "v2"
	r.ApplyChanges(time.Now(), []Info{info}, nil, nil)
	if second := r.Server("i-1"); second == first || second.Info().SoftwareVersion != "v2" || removed != 1 {
		t.Errorf("got %+v after %d removals", second.Info(), removed)
	}
}
