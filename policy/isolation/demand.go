package isolation

import (
	"math"
	"time"
)

// shrinkTimeConstant is the time constant with which the demand decreases. Bursts of the
// protected class follow each other within seconds, and each server that joins the reservation
// has long prompts to finish first.
const shrinkTimeConstant = 4 * time.Second

// demand is what the protected levels need: slots for running streams and prefill of prompts.
type demand struct {
	streams         float64
	tokensPerSecond float64
}

// add adds the demand of a class. The number of running streams follows from Little's law.
func (d *demand) add(c *Class) {
	rate := sanitize(c.Rate)
	d.streams += rate * max(c.StreamTime, 0).Seconds()
	d.tokensPerSecond += rate * sanitize(c.PrefillTokens)
}

// follow increases d to current at once, and decreases it slowly.
func (d *demand) follow(current demand, elapsed time.Duration) {
	factor := math.Exp(-max(elapsed, 0).Seconds() / shrinkTimeConstant.Seconds())
	d.streams = max(current.streams, current.streams+factor*(d.streams-current.streams))
	d.tokensPerSecond = max(current.tokensPerSecond, current.tokensPerSecond+factor*(d.tokensPerSecond-current.tokensPerSecond))
}
