package fleet

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// startFailureLines is how much of each log a failed Start shows.
const startFailureLines = 8

// WriteLogs writes the last lines of every process's log, for a failed test.
func (f *Fleet) WriteLogs(w io.Writer, lines int) {
	io.WriteString(w, f.tails(lines))
}

// tails are the last lines of each process's log, and how those ended that don't run: one that
// was ended from outside writes nothing, and its callers see connections that are reset.
func (f *Fleet) tails(lines int) string {
	var text strings.Builder
	for _, p := range f.Processes() {
		ended := ""
		if how := p.Ended(); how != "" {
			ended = " (ended: " + how + ")"
		}
		fmt.Fprintf(&text, "\n--- log of %s%s\n%s", p.Name, ended, p.logTail(lines))
	}
	return text.String()
}

// Log returns everything that the process has logged so far.
func (p *Process) Log() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

func (p *Process) logTail(lines int) string {
	all := strings.SplitAfter(p.Log(), "\n")
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	return strings.Join(all, "")
}
