package store

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
)

// Keys of the two rows that store the targets.
const (
	headKey = "targets/head"
	setKey  = "targets/set"
)

// maxChangeIDs is the number of change IDs kept in the set row. If the response
// to a write is lost, the change is found by its ID as long as fewer than this
// many other changes follow within confirm.Timeout.
const maxChangeIDs = 32

// headRecord is the value of the head row.
type headRecord struct {
	Version uint64 `json:"version"`
}

// setRecord is the value of the set row.
type setRecord struct {
	Set *targets.Set `json:"set"`
	// Changes are the IDs of the latest changes, oldest first.
	Changes []string `json:"changes"`
}

// storedSet is the decoded content of the set row.
type storedSet struct {
	set       *targets.Set
	changeIDs []string
	// rowVersion is the version of the row; zero if the row doesn't exist.
	rowVersion uint64
}

// parseSet decodes the set row. It returns ErrCorrupt if that fails.
func parseSet(row storage.Row) (storedSet, error) {
	var record setRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return storedSet{}, errors.Join(ErrCorrupt, err)
	}
	if record.Set == nil {
		return storedSet{}, ErrCorrupt
	}
	return storedSet{set: record.Set, changeIDs: record.Changes, rowVersion: row.Version}, nil
}

// containsChange reports whether the ID is among those of the latest changes.
func (s storedSet) containsChange(changeID string) bool {
	return slices.Contains(s.changeIDs, changeID)
}

// transaction returns the writes that replace the stored Set by next. Only the
// write of the set row is conditional. That suffices for both rows, because the
// head row is only written in the same transaction.
func (s storedSet) transaction(next *targets.Set, changeID string) ([]storage.Write, error) {
	changeIDs := append(slices.Clone(s.changeIDs), changeID)
	if len(changeIDs) > maxChangeIDs {
		changeIDs = changeIDs[len(changeIDs)-maxChangeIDs:]
	}
	set, err := json.Marshal(setRecord{Set: next, Changes: changeIDs})
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
