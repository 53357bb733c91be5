package admin

import (
	"encoding/json"
	"time"
)

// jsonDuration is a time.Duration that is encoded in JSON as a string with a
// unit.
type jsonDuration time.Duration

// MarshalJSON encodes the duration in the format of time.Duration.String, for
// example "850ms".
func (d jsonDuration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// roundAge rounds an age to milliseconds for display; operators do not need
// more precision.
func roundAge(d time.Duration) jsonDuration {
	return jsonDuration(d.Round(time.Millisecond))
}
