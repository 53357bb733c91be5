package history

import (
	"fmt"
	"slices"
	"time"
)

// checkVersions reports processes whose targets went back to an older version, even
// across a restart.
func checkVersions(h *indexedHistory) []Violation {
	var found []Violation
	highest := map[string]uint64{}
	seen := slices.Clone(h.Versions)
	slices.SortStableFunc(seen, func(a, b VersionReading) int { return a.At.Compare(b.At) })
	for _, v := range seen {
		if v.Version < highest[v.Process] {
			found = append(found, Violation{GuaranteeTargets, v.Process,
				fmt.Sprintf("went back from version %d to %d", highest[v.Process], v.Version)})
			continue
		}
		highest[v.Process] = v.Version
	}
	return found
}

// checkChanges reports accepted changes that share a version, that are not in force
// in time, or that a later reading no longer contains.
func checkChanges(h *indexedHistory) []Violation {
	var found []Violation
	byVersion := map[uint64]Change{}
	for _, change := range h.Changes {
		if other, ok := byVersion[change.Version]; ok {
			found = append(found, Violation{GuaranteeTargets, change.Class,
				fmt.Sprintf("accepted as version %d, the same as the change of class %s", change.Version, other.Class)})
		}
		byVersion[change.Version] = change
		found = append(found, checkReadings(h, change)...)
	}
	return found
}

func checkReadings(h *indexedHistory, change Change) []Violation {
	var found []Violation
	deadline := change.Accepted.Add(change.Limit)
	for _, v := range h.Versions {
		if v.At.After(deadline) && v.Version < change.Version && !v.Excused {
			found = append(found, Violation{GuaranteeTargets, v.Process, fmt.Sprintf("has version %d, %s after %d was accepted",
				v.Version, v.At.Sub(change.Accepted).Round(time.Millisecond), change.Version)})
		}
		held, known := v.ClassVersions[change.Class]
		if known && v.Version >= change.Version && held < change.Version {
			found = append(found, Violation{GuaranteeTargets, v.Process, fmt.Sprintf("version %d contains class %s as of version %d, not %d",
				v.Version, change.Class, held, change.Version)})
		}
	}
	return found
}
