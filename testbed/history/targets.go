package history

import (
	"fmt"
	"slices"
	"time"
)

// checkVersions looks for processes whose targets went back, also across a
// restart.
func checkVersions(h *indexed) []Violation {
	var found []Violation
	highest := map[string]uint64{}
	seen := slices.Clone(h.Versions)
	slices.SortStableFunc(seen, func(a, b VersionSeen) int { return a.At.Compare(b.At) })
	for _, v := range seen {
		if v.Version < highest[v.Process] {
			found = append(found, Violation{PointTargets, v.Process,
				fmt.Sprintf("went back from version %d to %d", highest[v.Process], v.Version)})
			continue
		}
		highest[v.Process] = v.Version
	}
	return found
}

// checkChanges looks for accepted changes that share a version, that are not
// in force in time, or that a later reading does not hold any more.
func checkChanges(h *indexed) []Violation {
	var found []Violation
	byVersion := map[uint64]Change{}
	for _, change := range h.Changes {
		if other, ok := byVersion[change.Version]; ok {
			found = append(found, Violation{PointTargets, change.Class,
				fmt.Sprintf("accepted as version %d like the change of %s", change.Version, other.Class)})
		}
		byVersion[change.Version] = change
		found = append(found, lateReadings(h, change)...)
	}
	return found
}

func lateReadings(h *indexed, change Change) []Violation {
	var found []Violation
	due := change.Accepted.Add(change.Limit)
	for _, v := range h.Versions {
		if v.At.After(due) && v.Version < change.Version && !v.Excused {
			found = append(found, Violation{PointTargets, v.Process, fmt.Sprintf("has version %d, %s after %d was accepted",
				v.Version, v.At.Sub(change.Accepted).Round(time.Millisecond), change.Version)})
		}
		held, told := v.Held[change.Class]
		if told && v.Version >= change.Version && held < change.Version {
			found = append(found, Violation{PointTargets, v.Process, fmt.Sprintf("version %d holds %s as of version %d, not %d",
				v.Version, change.Class, held, change.Version)})
		}
	}
	return found
}
