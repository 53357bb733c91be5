package api

import (
	"encoding/json"
	"net/http"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models handles GET /v1/models.
func (a *API) models(w http.ResponseWriter, r *http.Request) {
	set := a.config.Targets.Current()
	if _, ok := a.authenticate(w, r, set); !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range a.modelNames(set) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "applepier"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
