package canceller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// minSweepAgeMs is the age in milliseconds below which Sweep spares unknown
// streams of this process: such a stream may have started after the engine
// wrote its response and before the check against the streams known here.
const minSweepAgeMs = 5000

// A ProcessRegistry tells which processes and streams are still running.
type ProcessRegistry interface {
	// IsSelf reports whether the process is this one.
	IsSelf(vm string, boot uint64) bool
	// InProgress reports whether a stream of this process is in progress.
	InProgress(id string) bool
	// Gone reports whether the process has certainly stopped.
	Gone(vm string, boot uint64) bool
}

type streamList struct {
	Streams []streamEntry `json:"streams"`
}

type streamEntry struct {
	ID    string `json:"id"`
	VM    string `json:"vm"`
	Boot  uint64 `json:"boot"`
	AgeMs int64  `json:"age_ms"`
}

// Sweep reads an engine's list of streams and cancels the orphaned ones:
// streams of stopped processes, and streams of this process that it does not
// know. Streams of any other process are left to it, as it may only be
// unreachable from here.
func (c *Canceller) Sweep(ctx context.Context, address string, registry ProcessRegistry) error {
	l, err := c.list(ctx, address)
	if err != nil {
		return err
	}
	for _, s := range l.Streams {
		orphaned := registry.IsSelf(s.VM, s.Boot) && s.AgeMs >= minSweepAgeMs && !registry.InProgress(s.ID)
		if orphaned || registry.Gone(s.VM, s.Boot) {
			c.swept.Inc(1)
			c.Cancel(address, s.ID, nil)
		}
	}
	return nil
}

func (c *Canceller) list(ctx context.Context, address string) (streamList, error) {
	var l streamList
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams", http.NoBody)
	if err != nil {
		return l, Error.Wrap(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return l, Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return l, Error.New("engine responded to the stream list request with status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&l)
	return l, Error.Wrap(err)
}
