package router

import "testing"

// Guards against sending events twice, out of order or across a gap when they arrive in several
// reads or the caller already has some of them.
func TestEventsDeliveredOnceInOrder(t *testing.T) {
	cases := map[string]struct {
		after     string
		reads     []string
		want      string
		gap       bool
		resumable bool
	}{
		"from the first":                {"", []string{"id: 1\n\n", "id: 2\n\nid: 3\n\n"}, "id: 1\n\nid: 2\n\nid: 3\n\n", false, true},
		"from zero":                     {"", []string{"id: 0\n\nid: 1\n\n"}, "id: 0\n\nid: 1\n\n", false, true},
		"after event 2":                 {"2", []string{"id: 3\n\n"}, "id: 3\n\n", false, true},
		"from the first, after event 2": {"2", []string{"id: 1\n\nid: 2\n\nid: 3\n\n"}, "id: 3\n\n", false, true},
		"with a gap":                    {"2", []string{"id: 4\n\n"}, "", true, true},
		"with a gap later":              {"", []string{"id: 1\n\n", "id: 3\n\n"}, "id: 1\n\n", true, true},
		"with a gap in a read":          {"", []string{"id: 1\n\nid: 3\n\n"}, "id: 1\n\n", true, true},
		"with comments":                 {"", []string{": wait\n\n", "id: 1\n\n"}, ": wait\n\nid: 1\n\n", false, true},
		"without ids":                   {"", []string{"data: a\n\n"}, "data: a\n\n", false, false},
		"without ids, after event 2":    {"2", []string{"data: a\n\n"}, "data: a\n\n", false, false},
		"last event without an id":      {"", []string{"id: 1\n\ndata: [DONE]\n\n"}, "id: 1\n\ndata: [DONE]\n\n", false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s streamState
			s.setResumePoint(c.after)
			got, gap := "", false
			for _, read := range c.reads {
				out, ok := s.newEvents([]byte(read))
				got, gap = got+string(out), gap || !ok
			}
			if got != c.want || gap != c.gap || s.resumable() != c.resumable {
				t.Errorf("%q, gap %v, resumable %v; want %q, %v, %v", got, gap, s.resumable(), c.want, c.gap, c.resumable)
			}
		})
	}
}
