package fleet

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// startFailureLines is the number of log lines per process in the error of a failed Start.
const startFailureLines = 8

// WriteLogs writes the last lines of every process's log to w.
func (f *Fleet) WriteLogs(w io.Writer, lines int) {
	io.WriteString(w, f.logTails(lines))
}

// logTails returns the last lines of each process's log and how the process exited. The exit reason
// is needed because a process killed from outside logs nothing; its callers only see resets.
func (f *Fleet) logTails(lines int) string {
	var text strings.Builder
	for _, p := range f.Processes() {
		exit := ""
		if reason := p.ExitReason(); reason != "" {
			exit = " (ended: " + reason + ")"
		}
		fmt.Fprintf(&text, "\n--- log of %s%s\n%s", p.Name, exit, p.logTail(lines))
	}
	return text.String()
}

// Log returns the process's log, or the text of the error if it can't be read.
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
