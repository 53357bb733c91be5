package policy

// PauseCounts counts the recent streams of one service and urgency level by whether all of their
// pauses were within the target.
type PauseCounts struct {
	Service Key
	Urgency int
	// Late is the number of streams that exceeded the target, counted as soon as they did, and OnTime
	// the number of complete streams that didn't.
	Late   int
	OnTime int
}
