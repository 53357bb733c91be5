package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// pathServerSpeeds is the path of the slowdown of each backend server.
const pathServerSpeeds = "/server-speeds"

// handleServerSpeeds responds with an object of services, each an object of the slowdowns by server ID.
func (g *gateway) handleServerSpeeds(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	// If this fails, the operator has disconnected.
	_ = json.NewEncoder(w).Encode(g.router.ServerSlowdowns())
}
