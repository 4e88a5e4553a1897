package chatter

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/heathervane/heathervane/entry/request/authenticator"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// Models serves the list of models, or the one model that the path names.
func (h *Handler) Models(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(refuser.VMHeader, h.config.VM)
	v := h.view()
	if v == nil {
		authenticator.NotReady().Write(w)
		return
	}
	if _, refusal := authenticator.Team(v, q); refusal != nil {
		h.refuse(w, refusal)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(maps.Keys(v.Manifest.Models)) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "heathervane"})
	}
	name := q.PathValue("model")
	if name == "" {
		h.writeJSON(w, list)
		return
	}
	i := slices.IndexFunc(list.Data, func(m model) bool { return m.ID == name })
	if i < 0 {
		refuser.New(http.StatusNotFound, "model_not_found", "there is no model %.60q", name).Write(w)
		return
	}
	h.writeJSON(w, list.Data[i])
}

func (h *Handler) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refuser.RanHeader, string(refuser.RanYes))
	if err := json.NewEncoder(w).Encode(v); err != nil {
		h.meter.Count("models.unsent", 1)
	}
}

// NotFound serves paths that no other handler serves.
func (h *Handler) NotFound(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(refuser.VMHeader, h.config.VM)
	refuser.New(http.StatusNotFound, "no_such_path", "no handler for %s %.80q", q.Method, q.URL.Path).Write(w)
}
