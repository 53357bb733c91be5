// Package rounds reads what played days left behind: it sets the worth of days
// before and after a change side by side, and draws a day over time. Start
// reading at Compare and Draw.
package rounds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// ErrUnreadable: a journal or a report can't be read.
var ErrUnreadable = errors.New("can't be read")

// Entry is one run in the journal.
type Entry struct {
	// Head is the commit that was played, Why what for, Site where.
	Head string `json:"head"`
	Why  string `json:"why"`
	Site string `json:"site"`
	Days []Day  `json:"days"`
}

// Day is one day of a run.
type Day struct {
	Name string `json:"name"`
	// Worth is benefit earned by benefit owed, less prices.
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Rules are the rules that were broken, and how often.
	Rules map[string]int `json:"rules"`
}

// ReadJournal reads the runs of a journal in order of their files' names.
func ReadJournal(dir string) ([]Entry, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(ErrUnreadable, err.Error())
	}
	var all []Entry
	for _, name := range names {
		var e Entry
		if err := readJSON(name, &e); err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	return all, nil
}

// Of reports whether the run is one of what is asked for: its commit, or its
// reason, begins so.
func (e *Entry) Of(what string) bool {
	return what != "" && (strings.HasPrefix(e.Head, what) || strings.HasPrefix(e.Why, what))
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
