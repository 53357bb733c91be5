package usage

import "time"

// Windows numbers spans of time of equal length from the start of 1970 on.
type Windows struct{ Length time.Duration }

// Number is the window of a moment.
func (w Windows) Number(at time.Time) uint64 {
	return uint64(at.UnixNano() / int64(w.Length))
}

// End is the first moment after a window.
func (w Windows) End(number uint64) time.Time {
	return time.Unix(0, int64(number+1)*int64(w.Length))
}
