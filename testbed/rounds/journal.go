// Package rounds evaluates the results of simulated days: it compares the scores of
// days before and after a change, draws a day over time and lists where a day lost
// score. Start reading at Compare, Draw and Losses.
package rounds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// ErrUnreadable is returned if a journal or a report can't be read or decoded.
var ErrUnreadable = errors.New("unreadable file")

// Run is one run in the journal.
type Run struct {
	// Head is the tested commit, Why the reason for the run, and Site the
	// simulated site.
	Head string `json:"head"`
	Why  string `json:"why"`
	Site string `json:"site"`
	Days []Day  `json:"days"`
}

// Day is the result of one simulated day of a run.
type Day struct {
	Name string `json:"name"`
	// Score is the earned benefit divided by the owed benefit, less penalties.
	Score   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Rules counts the violations of each broken rule.
	Rules map[string]int `json:"rules"`
}

// ReadJournal reads the runs of a journal in order of their file names. Errors wrap
// ErrUnreadable.
func ReadJournal(dir string) ([]Run, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	var runs []Run
	for _, name := range names {
		var run Run
		if err := readJSON(name, &run); err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	return runs, nil
}

// Matches reports whether the run's commit or reason begins with prefix. An empty
// prefix matches nothing.
func (r *Run) Matches(prefix string) bool {
	return prefix != "" && (strings.HasPrefix(r.Head, prefix) || strings.HasPrefix(r.Why, prefix))
}

func readJSON(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(ErrUnreadable, err.Error())
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrapf(ErrUnreadable, "%s: %v", name, err)
	}
	return nil
}
