package coordinator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/process/lender"
)

// ErrProbe is the class of failed questions to an upstream.
var ErrProbe = errs.Class("probe")

// maxProbe bounds an upstream's answer in bytes.
const maxProbe = 4 << 20

// maxAge bounds how old a report may say that it is.
const maxAge = time.Hour

// loadAnswer is an upstream's load report.
type loadAnswer struct {
	Boot    uint64 `json:"boot"`
	Age     int64  `json:"age_ms"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Used    int    `json:"used"`
	Memory  int    `json:"memory"`
	Left    int    `json:"prefill_left"`
	Cold    bool   `json:"cold"`
}

// streamsAnswer is an engine's list of streams.
type streamsAnswer struct {
	Boot    uint64 `json:"boot"`
	Streams []struct {
		VM   string `json:"vm"`
		Boot uint64 `json:"boot"`
	} `json:"streams"`
}

// HTTP asks upstreams over HTTP.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns a Prober that uses a client.
func NewHTTP(client *http.Client) *HTTP { return &HTTP{client: client} }

// Load asks for an upstream's load.
func (h *HTTP) Load(ctx context.Context, address string) (lender.Load, error) {
	a, err := get[loadAnswer](ctx, h.client, address, "/v1/load")
	if err != nil {
		return lender.Load{}, err
	}
	load := lender.Load{
		Boot: a.Boot, Running: a.Running, Waiting: a.Waiting, Used: a.Used, Memory: a.Memory, Left: a.Left,
		Cold: a.Cold, Age: time.Duration(a.Age) * time.Millisecond,
	}
	if !load.Sane() || load.Age < 0 || load.Age > maxAge {
		return lender.Load{}, ErrProbe.New("%s: the load report has impossible figures", address)
	}
	return load, nil
}

// Streams asks for an engine's streams, counted by process.
func (h *HTTP) Streams(ctx context.Context, address string) (boot uint64, counts map[lender.Who]int, err error) {
	a, err := get[streamsAnswer](ctx, h.client, address, "/v1/streams")
	if err != nil {
		return 0, nil, err
	}
	counts = map[lender.Who]int{}
	for _, s := range a.Streams {
		counts[lender.Who{VM: s.VM, Boot: s.Boot}]++
	}
	return a.Boot, counts, nil
}

func get[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
	var answer T
	req, err := sling.New().Get("http://" + address + path).Request()
	if err != nil {
		return answer, ErrProbe.Wrap(err)
	}
	res, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return answer, ErrProbe.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, ErrProbe.New("%s%s: %s", address, path, res.Status)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxProbe)).Decode(&answer)
	return answer, ErrProbe.Wrap(err)
}
