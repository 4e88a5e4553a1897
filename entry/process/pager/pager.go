// Package pager serves this VM's copies of records to other VMs, and fetches theirs.
// After a new version of the configuration or a restart of a zone, a hundred VMs may
// ask one VM for the same records within milliseconds, so the response is encoded and
// compressed once for all of them. Doing that per request would take more memory than
// a small VM has.
package pager

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/entry/process/replicator"
)

// Error is the class of this package's errors.
var Error = errs.Class("pager")

// Path is the path at which a VM serves its copies.
const Path = "/records"

const (
	// maxResponseBytes bounds the size of another VM's response.
	maxResponseBytes = 32 << 20
	// minCompressedBytes is the size from which records are compressed. Some VMs have
	// links of 20 Mbit/s, on which thirty responses of 100 KB take more than a
	// second.
	minCompressedBytes = 2 << 10
)

// Response headers: the offset below which no record is missing and its era, the
// milliseconds since the platform confirmed it, and whether the records are a full
// snapshot. VMs of earlier builds send no era.
const (
	endHeader      = "Heathervane-End"
	eraHeader      = "Heathervane-Era"
	ageHeader      = "Heathervane-Age"
	snapshotHeader = "Heathervane-Whole"
)

// A Meter counts events.
type Meter interface {
	Count(name string, n int64)
}

// A Pager serves the copies of several streams.
type Pager struct {
	copies map[string]*replicator.Copy
	meter  Meter
	now    func() time.Time
	log    zerolog.Logger

	mu sync.Mutex
	// pages caches the last page of each stream.
	pages map[string]*page
}

// A page holds the encoded records from an offset on.
type page struct {
	from       replicator.Position
	changes    int64
	data       []byte
	compressed bool
}

// New returns a Pager for the given copies, by stream.
func New(copies map[string]*replicator.Copy, m Meter, now func() time.Time, log zerolog.Logger) *Pager {
	return &Pager{copies: copies, meter: m, now: now, log: log, pages: make(map[string]*page)}
}

// ServeHTTP serves records to another VM.
func (p *Pager) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	stream := req.FormValue("stream")
	c, ok := p.copies[stream]
	offset, err := strconv.ParseInt(req.FormValue("from"), 10, 64)
	var era int64
	if v := req.FormValue("era"); err == nil && v != "" {
		era, err = strconv.ParseInt(v, 10, 64)
	}
	if !ok || err != nil {
		http.Error(w, "no such stream or offset", http.StatusBadRequest)
		return
	}
	from := replicator.Position{Era: era, Offset: offset}
	state := c.State(from)
	body, err := p.page(stream, c, from, state.Changes)
	if err != nil {
		p.log.Error().Err(err).Msg("could not encode records for a peer")
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set(endHeader, strconv.FormatInt(state.End.Offset, 10))
	h.Set(eraHeader, strconv.FormatInt(state.End.Era, 10))
	h.Set(ageHeader, strconv.FormatInt(p.now().Sub(state.AsOf).Milliseconds(), 10))
	h.Set(snapshotHeader, strconv.FormatBool(state.Snapshot))
	if body.compressed {
		h.Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(body.data); err != nil {
		p.log.Info().Err(err).Str("peer", req.RemoteAddr).Msg("could not send records to a peer")
	}
}

// page returns the encoded records of a stream from a position on, which may include
// later changes than the given count. Concurrent callers wait for a single encoding.
func (p *Pager) page(stream string, c *replicator.Copy, from replicator.Position, changes int64) (*page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.pages[stream]; ok && last.from == from && last.changes >= changes {
		return last, nil
	}
	// Read the count before the records: if a change arrives in between, the page
	// counts as older and the next request encodes it again.
	changes = c.State(from).Changes
	encoded, err := encode(c.Since(from).Records)
	if err != nil {
		return nil, err
	}
	p.meter.Count("pages.encoded", 1)
	encoded.from, encoded.changes = from, changes
	p.pages[stream] = encoded
	return encoded, nil
}

func encode(rs []replicator.Record) (*page, error) {
	data, err := cbor.Marshal(rs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) < minCompressedBytes {
		return &page{data: data}, nil
	}
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = w.Write(data)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, Error.Wrap(err)
	}
	return &page{data: compressed.Bytes(), compressed: true}, nil
}

// query holds the query parameters of a request to another VM.
type query struct {
	Stream string `url:"stream"`
	From   int64  `url:"from"`
	Era    int64  `url:"era,omitempty"`
}

// Fetch returns another VM's records from a position on.
func Fetch(ctx context.Context, from netip.AddrPort, stream string, at replicator.Position, now func() time.Time) (replicator.Page, error) {
	req, err := sling.New().Base("http://" + from.String()).Get(Path).QueryStruct(query{stream, at.Offset, at.Era}).Request()
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return replicator.Page{}, Error.New("peer %s returned status %d: %s", from, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return decode(resp.Header, data, now())
}

func decode(h http.Header, data []byte, now time.Time) (p replicator.Page, err error) {
	if err = cbor.Unmarshal(data, &p.Records); err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	var age int64
	var parseErrs [4]error
	p.End.Offset, parseErrs[0] = strconv.ParseInt(h.Get(endHeader), 10, 64)
	age, parseErrs[1] = strconv.ParseInt(h.Get(ageHeader), 10, 64)
	p.Snapshot, parseErrs[2] = strconv.ParseBool(h.Get(snapshotHeader))
	if v := h.Get(eraHeader); v != "" {
		p.End.Era, parseErrs[3] = strconv.ParseInt(v, 10, 64)
	}
	if err = errors.Join(parseErrs[:]...); err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	p.AsOf = now.Add(-time.Duration(age) * time.Millisecond)
	return p, nil
}
