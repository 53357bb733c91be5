package usage

import "time"

// Windows numbers consecutive time windows of equal length, starting at the Unix epoch.
type Windows struct{ Length time.Duration }

// Number returns the number of the window that contains a time.
func (w Windows) Number(at time.Time) uint64 {
	return uint64(at.UnixNano() / int64(w.Length))
}

// End returns the first moment after a window.
func (w Windows) End(number uint64) time.Time {
	return time.Unix(0, int64(number+1)*int64(w.Length))
}
