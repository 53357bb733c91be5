package admin

import (
	"net/http"
	"time"
)

// status writes the targets version that each process has applied.
func (a *API) status(w http.ResponseWriter, r *http.Request) {
	set, source := a.loadTargets(r.Context())
	processes := a.fleet.Processes()
	response := statusResponse{
		Version:      set.Version,
		Source:       source,
		LocalVersion: a.targets.Current().Version,
		Propagation:  propagationOf(processes, set.Version),
		Processes:    []processView{},
	}
	for _, p := range processes {
		response.Processes = append(response.Processes, processView{
			Name:            p.Name,
			Zone:            p.Zone,
			Role:            p.Role,
			Version:         p.TargetsVersion,
			HasRecentStatus: p.hasRecentStatus(),
			StatusAge:       optionalAge(p.HasStatus, p.StatusAge),
			Draining:        p.Draining,
		})
	}
	setETag(w, set.Version)
	writeJSON(w, http.StatusOK, response)
}

// listBackendServers writes the status of the backend servers as known to this
// process.
func (a *API) listBackendServers(w http.ResponseWriter, _ *http.Request) {
	version := a.targets.Current().Version
	response := backendServersResponse{Version: version, BackendServers: []backendServerView{}}
	for _, server := range a.fleet.BackendServers() {
		response.BackendServers = append(response.BackendServers, backendServerView{
			VM:        server.VM,
			Zone:      server.Zone,
			Serves:    server.Serves,
			Running:   server.Running,
			Waiting:   server.Waiting,
			Limit:     server.Limit,
			Draining:  server.Draining,
			Down:      server.Down,
			StatusAge: optionalAge(server.HasStatus, server.StatusAge),
		})
	}
	setETag(w, version)
	writeJSON(w, http.StatusOK, response)
}

// optionalAge returns the rounded age, or nil if there is no status.
func optionalAge(hasStatus bool, d time.Duration) *jsonDuration {
	if !hasStatus {
		return nil
	}
	rounded := roundAge(d)
	return &rounded
}
