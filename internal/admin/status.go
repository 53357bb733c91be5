package admin

import (
	"net/http"
	"time"
)

// status tells the version in force by process.
func (a *API) status(w http.ResponseWriter, r *http.Request) {
	set, from := a.read(r.Context())
	processes := a.fleet.Processes()
	answer := statusAnswer{
		Version:     set.Version,
		Source:      from,
		InForceHere: a.holder.Current().Version,
		Spread:      spreadOf(processes, set.Version),
		Processes:   []processView{},
	}
	for _, p := range processes {
		answer.Processes = append(answer.Processes, processView{
			Name:    p.Name,
			Zone:    p.Zone,
			Role:    p.Role,
			Version: p.Version,
			Heard:   p.heard(),
			Age:     ageIf(p.Heard, p.Age),
			Leaving: p.Leaving,
		})
	}
	setVersion(w, set.Version)
	writeJSON(w, http.StatusOK, answer)
}

// listEngines tells of the backend servers as this process sees them.
func (a *API) listEngines(w http.ResponseWriter, _ *http.Request) {
	version := a.holder.Current().Version
	answer := enginesAnswer{Version: version, Engines: []engineView{}}
	for _, e := range a.fleet.Engines() {
		answer.Engines = append(answer.Engines, engineView{
			VM:      e.VM,
			Zone:    e.Zone,
			Serves:  e.Serves,
			Running: e.Running,
			Waiting: e.Waiting,
			Limit:   e.Limit,
			Leaving: e.Leaving,
			Down:    e.Down,
			Age:     ageIf(e.Heard, e.Age),
		})
	}
	setVersion(w, version)
	writeJSON(w, http.StatusOK, answer)
}

func ageIf(heard bool, d time.Duration) *duration {
	if !heard {
		return nil
	}
	rounded := age(d)
	return &rounded
}
