package passer

import (
	"context"
	"net/http"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// A Keeper judges calls with a key.
type Keeper interface{}

func (p *Passer) keyed(_ context.Context, w http.ResponseWriter, _ *call, _ string) {
	p.refuse(w, refuser.New(http.StatusServiceUnavailable, "keys_unready", "calls with a key cannot be judged yet").Back(time.Second))
}
