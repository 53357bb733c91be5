package load

// UsefulCapacityShare returns the fraction of the fleet's capacity in a phase
// that was used for complete responses on time to requests scheduled in the
// phase. Some of that work happens after the phase, so it can exceed 1.
func (s Scenario) UsefulCapacityShare(phase PhaseReport) float64 {
	var streamSeconds float64
	for i, class := range s.Mix.Classes {
		streamSeconds += class.onTimeStreamSeconds(s.Mix.Fleet, phase.Classes[i])
	}
	return streamSeconds / (s.Mix.Fleet.fullSpeedStreams() * phase.Seconds)
}

// onTimeStreamSeconds returns the time, in seconds, that the responses on time
// take one stream at full speed. Prompts are counted with their mean length,
// without the shared prefix, which engines have cached.
func (c Class) onTimeStreamSeconds(fleet Fleet, report ClassReport) float64 {
	if c.Service != "" {
		return 0
	}
	decodeSeconds := float64(report.OnTimeTokens) * fleet.TokenInterval.Seconds()
	return decodeSeconds + float64(report.OnTime)*c.meanPromptTokens()*fleet.PrefillPerToken.Seconds()
}
