package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// A Call is one request to a plain service.
type Call struct {
	Service string
	Method  string
	// Path begins with a slash.
	Path string
	Body string
	// Key is the Idempotency-Key; empty sends none.
	Key string
	// Limit is the time limit to ask for; 0 asks for none.
	Limit time.Duration
}

// An Outcome is what a call got.
type Outcome struct {
	Way
	// Body is the service's answer; of a refusal only Code and Text are kept.
	Body string
	// End is the time from the sending to the end of the answer.
	End time.Duration
	// Err is what went wrong with the connection.
	Err error
}

// Call sends a call to a VM's callers' address with a team's token.
func (c *Caller) Call(ctx context.Context, address, token string, l Call) Outcome {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, l.Method,
		"http://"+address+"/services/"+l.Service+l.Path, strings.NewReader(l.Body))
	if err != nil {
		return Outcome{Err: errs.Wrap(err)}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	if l.Key != "" {
		r.Header.Set(headerKey, l.Key)
	}
	if l.Limit > 0 {
		r.Header.Set(headerLimit, limit(l.Limit))
	}
	response, err := c.client.Do(r)
	if err != nil {
		return Outcome{Err: errs.Wrap(err), End: time.Since(start)}
	}
	defer response.Body.Close()
	o := Outcome{Way: wayOf(response)}
	data, err := io.ReadAll(io.LimitReader(response.Body, mostFailure))
	o.End = time.Since(start)
	o.Body, o.Err = string(data), errs.Wrap(err)
	var f failure
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &f) == nil {
		o.Code, o.Text = f.Error.Code, f.Error.Message
	}
	return o
}
