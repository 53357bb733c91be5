package store

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
)

// Keys of the two rows.
const (
	headKey = "targets/head"
	setKey  = "targets/set"
)

// keptChanges is how many ids of changes the set's row remembers. An operator
// whose acknowledgement was lost finds the change by its id while fewer than
// this many others came after it within confirm.Limit.
const keptChanges = 32

// headRecord is the value of the head's row.
type headRecord struct {
	Version uint64 `json:"version"`
}

// setRecord is the value of the set's row.
type setRecord struct {
	Set *targets.Set `json:"set"`
	// Changes are the ids of the latest changes, oldest first.
	Changes []string `json:"changes"`
}

// storedSet is what was read from the set's row.
type storedSet struct {
	set     *targets.Set
	changes []string
	// rowVersion is the row's; zero when there is none.
	rowVersion uint64
}

func parseSet(row storage.Row) (storedSet, error) {
	var record setRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return storedSet{}, errors.Join(ErrCorrupt, err)
	}
	if record.Set == nil {
		return storedSet{}, ErrCorrupt
	}
	return storedSet{set: record.Set, changes: record.Changes, rowVersion: row.Version}, nil
}

// holds reports whether a change is among the latest.
func (s storedSet) holds(change string) bool {
	return slices.Contains(s.changes, change)
}

// writes returns the transaction that replaces the stored Set by next. The
// set's row guards both, since the head is never written without it.
func (s storedSet) writes(next *targets.Set, change string) ([]storage.Write, error) {
	changes := append(slices.Clone(s.changes), change)
	if len(changes) > keptChanges {
		changes = changes[len(changes)-keptChanges:]
	}
	set, err := json.Marshal(setRecord{Set: next, Changes: changes})
	if err != nil {
		return nil, errors.Wrap(err, "encode the targets")
	}
	head, err := json.Marshal(headRecord{Version: next.Version})
	if err != nil {
		return nil, errors.Wrap(err, "encode the targets' version")
	}
	return []storage.Write{
		{Key: headKey, Value: head, Expect: storage.AnyVersion},
		{Key: setKey, Value: set, Expect: s.rowVersion},
	}, nil
}
