package chatter

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/heathervane/heathervane/entry/request/authenticator"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

type models struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// Models lists the models, or shows the one that the path names.
func (c *Handler) Models(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(refuser.VMHeader, c.config.VM)
	v := c.views()
	if v == nil {
		authenticator.NotReady().Write(w)
		return
	}
	if _, refusal := authenticator.Team(v, q); refusal != nil {
		c.refuse(w, refusal)
		return
	}
	list := models{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(maps.Keys(v.Manifest.Models)) {
		list.Data = append(list.Data, model{ID: name, Object: "model", Owner: "heathervane"})
	}
	name := q.PathValue("model")
	if name == "" {
		c.show(w, list)
		return
	}
	i := slices.IndexFunc(list.Data, func(m model) bool { return m.ID == name })
	if i < 0 {
		refuser.New(http.StatusNotFound, "model_not_found", "there is no model %.60q", name).Write(w)
		return
	}
	c.show(w, list.Data[i])
}

func (c *Handler) show(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refuser.RanHeader, string(refuser.RanYes))
	if err := json.NewEncoder(w).Encode(v); err != nil {
		c.meter.Count("models.unsent", 1)
	}
}

// NotFound answers paths that mean nothing here.
func (c *Handler) NotFound(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(refuser.VMHeader, c.config.VM)
	refuser.New(http.StatusNotFound, "no_such_path", "%s %.80q is served by nothing here", q.Method, q.URL.Path).Write(w)
}
