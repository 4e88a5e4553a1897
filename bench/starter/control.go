package starter

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"
)

// Faults are what a stand-in does wrong until it is told otherwise; the fields
// are those of the stand-ins' page.
type Faults struct {
	Down    bool    `json:"down,omitempty"`
	Slow    int     `json:"slow_ms,omitempty"`
	Freeze  bool    `json:"freeze,omitempty"`
	Lose    int     `json:"lose,omitempty"`
	Double  int     `json:"double,omitempty"`
	Reorder int     `json:"reorder,omitempty"`
	Cut     int     `json:"cut,omitempty"`
	Cold    bool    `json:"cold,omitempty"`
	Slower  float64 `json:"slower,omitempty"`
}

// A Load is an upstream's report on itself, as the bench reads it.
type Load struct {
	Boot    uint64 `json:"boot"`
	Running int    `json:"running"`
	Used    int    `json:"used"`
	Memory  int    `json:"memory"`
	Cold    bool   `json:"cold"`
	// Version is the model's version that an engine serves.
	Version string `json:"version"`
}

// A Stream is one piece of work on an engine, without lag.
type Stream struct {
	ID     string `json:"id"`
	VM     string `json:"vm"`
	Kind   string `json:"kind"`
	Memory int    `json:"memory"`
	// Age is how long ago it began, in milliseconds.
	Age int64 `json:"age_ms"`
}

// A Peak is what an upstream counted itself while it was cold, without lag.
type Peak struct {
	// Bears is how many requests at once it can bear while cold.
	Bears int `json:"bears"`
	// Falls counts how often it fell over.
	Falls int `json:"falls"`
	// Peaks is the most requests at once while cold, by boot number.
	Peaks map[string]int `json:"peaks"`
}

// Most is the highest peak over all boots.
func (p Peak) Most() int {
	most := 0
	for _, n := range p.Peaks {
		most = max(most, n)
	}
	return most
}

// SetFaults replaces the faults of a stand-in.
func SetFaults(ctx context.Context, p *Process, faults Faults) error {
	return exchange(ctx, http.MethodPut, p, "/faults", faults, nil)
}

// Streams are what an engine holds at this moment.
func Streams(ctx context.Context, p *Process) ([]Stream, error) {
	var list struct {
		Streams []Stream `json:"streams"`
	}
	err := exchange(ctx, http.MethodGet, p, "/v1/streams", nil, &list)
	return list.Streams, err
}

// LoadOf is an upstream's own report, which lags.
func LoadOf(ctx context.Context, p *Process) (Load, error) {
	var load Load
	err := exchange(ctx, http.MethodGet, p, "/v1/load", nil, &load)
	return load, err
}

// PeakOf is what an upstream counted while it was cold.
func PeakOf(ctx context.Context, p *Process) (Peak, error) {
	var peak Peak
	err := exchange(ctx, http.MethodGet, p, "/v1/peak", nil, &peak)
	return peak, err
}

// Effects are the effects that a plain service counted, by key.
func Effects(ctx context.Context, p *Process) (map[string]int, error) {
	var list struct {
		Effects map[string]int `json:"effects"`
	}
	err := exchange(ctx, http.MethodGet, p, "/v1/effects", nil, &list)
	return list.Effects, err
}

// Status fills status from a VM's own account of itself.
func Status(ctx context.Context, p *Process, status any) error {
	request, err := sling.New().Get("http://" + p.Line.Watch + "/status").Request()
	if err != nil {
		return errs.Wrap(err)
	}
	_, err = sling.New().Client(control).Do(request.WithContext(ctx), status, nil) //nolint:bodyclose // Do closes it.
	return errs.Wrap(err)
}

// control is the client for what the bench asks of processes beside the load:
// a frozen process must not hold it.
var control = &http.Client{Timeout: 5 * time.Second}

// exchange sends a JSON body, or none, and reads a JSON answer, or none.
func exchange(ctx context.Context, method string, p *Process, path string, body, answer any) error {
	call := sling.New().Client(control).Base("http://" + p.Line.Address)
	switch method {
	case http.MethodPut:
		call = call.Put(path)
	case http.MethodDelete:
		call = call.Delete(path)
	default:
		call = call.Get(path)
	}
	if body != nil {
		call = call.BodyJSON(body)
	}
	request, err := call.Request()
	if err != nil {
		return errs.Wrap(err)
	}
	response, err := call.Do(request.WithContext(ctx), answer, nil) //nolint:bodyclose // Do closes it.
	if err != nil {
		return errs.New("%s %s of %s: %v", method, path, p.Name, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errs.New("%s %s of %s: %s", method, path, p.Name, response.Status)
	}
	return nil
}

// probe asks a VM whether it is ready. A VM that does not answer yet is not
// ready, which is no error.
func probe(ctx context.Context, p *Process) (ready bool, text string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Line.Watch+"/readyz", http.NoBody)
	if err != nil {
		return false, "", errs.Wrap(err)
	}
	response, err := control.Do(request)
	if err != nil {
		return false, err.Error(), nil
	}
	defer response.Body.Close()
	const most = 4096
	body, _ := io.ReadAll(io.LimitReader(response.Body, most))
	return response.StatusCode == http.StatusOK, string(body), nil
}

// Effects sums over the plain service's processes how often a key took effect.
func (f *Fleet) Effects(ctx context.Context, key string) (int, error) {
	sum := 0
	for _, p := range f.Services {
		effects, err := Effects(ctx, p)
		if err != nil {
			return 0, err
		}
		sum += effects[key]
	}
	return sum, nil
}
