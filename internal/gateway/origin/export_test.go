package origin

import "time"

// Len returns the number of records.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.expire(time.Now())
	return len(d.records.byStream)
}
