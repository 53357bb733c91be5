package load

// Useful is the part of the fleet's capacity during a phase that went into
// answers which were whole and on time, of the requests due in that phase.
// Some of their work falls after the phase, so that it can be above 1.
func (s Scenario) Useful(phase PhaseReport) float64 {
	var work float64
	for i, class := range s.Mix.Classes {
		work += class.onTimeWork(s.Mix.Fleet, phase.Classes[i])
	}
	return work / (s.Mix.Fleet.streams() * phase.Seconds)
}

// onTimeWork is how long its answers on time take one stream at full speed, in
// seconds. Prompts count by their mean, without what the engines have cached.
func (c Class) onTimeWork(fleet Fleet, report ClassReport) float64 {
	if c.Service != "" {
		return 0
	}
	decode := float64(report.OnTimeTokens) * fleet.Interval.Seconds()
	return decode + float64(report.OnTime)*c.meanPrompt()*fleet.PrefillPerToken.Seconds()
}
