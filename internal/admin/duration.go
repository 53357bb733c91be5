package admin

import (
	"encoding/json"
	"time"
)

// duration is a time.Duration as a string with a unit in JSON.
type duration time.Duration

// MarshalJSON writes the duration as in "850ms".
func (d duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// age rounds for reading; less than a millisecond is of no use to operators.
func age(d time.Duration) duration {
	return duration(d.Round(time.Millisecond))
}
