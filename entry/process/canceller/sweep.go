package canceller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// young is the age in milliseconds below which a stream of this process is left
// alone: it may have been begun between the engine's answer and the look at
// what is known here.
const young = 5000

// An Owner tells whose streams an engine has.
type Owner interface {
	// IsSelf tells whether a process is this one.
	IsSelf(vm string, boot uint64) bool
	// InProgress tells whether a stream of this process is in progress.
	InProgress(id string) bool
	// Gone tells that a process has certainly been stopped.
	Gone(vm string, boot uint64) bool
}

type listing struct {
	Streams []listed `json:"streams"`
}

type listed struct {
	ID   string `json:"id"`
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
	Age  int64  `json:"age_ms"`
}

// Sweep reads an engine's list of streams, and cancels what stands there for
// nobody: streams of processes that are gone, and streams of this one that it
// does not know. A stream of any other process is left to that process, which
// may only be cut off from here.
func (c *Canceller) Sweep(ctx context.Context, address string, o Owner) error {
	l, err := c.list(ctx, address)
	if err != nil {
		return err
	}
	for _, s := range l.Streams {
		lost := o.IsSelf(s.VM, s.Boot) && s.Age >= young && !o.InProgress(s.ID)
		if lost || o.Gone(s.VM, s.Boot) {
			c.swept.Inc(1)
			c.Cancel(address, s.ID, nil)
		}
	}
	return nil
}

func (c *Canceller) list(ctx context.Context, address string) (listing, error) {
	var l listing
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/streams", http.NoBody)
	if err != nil {
		return l, Error.Wrap(err)
	}
	answer, err := c.client.Do(q)
	if err != nil {
		return l, Error.Wrap(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return l, Error.New("the engine answered %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, mostAnswer)).Decode(&l)
	return l, Error.Wrap(err)
}
