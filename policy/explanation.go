package policy

// explanation is the set of crashes that quarantined suspects explain. The nil explanation explains none.
type explanation struct {
	instances map[Key]bool
	// samplesFrom is the smallest Crash.sample that isn't known to be unexplained, since suspects of
	// more than maxCrashes crashes know only those below it; 0 if there are none.
	samplesFrom uint64
}

// add adds the crashes of a suspect.
func (e *explanation) add(crashes []Crash) {
	if e.instances == nil {
		e.instances = map[Key]bool{}
	}
	for _, c := range crashes {
		e.instances[c.Instance] = true
	}
	if len(crashes) == maxCrashes {
		if largest := crashes[indexOfLargestSample(crashes)].sample(); e.samplesFrom == 0 || largest < e.samplesFrom {
			e.samplesFrom = largest
		}
	}
}

// explains reports whether a crash is, or may be, explained.
func (e *explanation) explains(c Crash) bool {
	return e != nil && (e.instances[c.Instance] || e.samplesFrom > 0 && c.sample() >= e.samplesFrom)
}
