// Package pager serves this VM's copies of records to other VMs, and fetches theirs.
// It answers a new version of the configuration, or a restart of a zone, after which
// a hundred VMs ask one for the same records within milliseconds: what they get is
// encoded and compressed once. Done for each, it would take more memory than a small
// VM has.
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

// Path is where a VM serves its copies.
const Path = "/records"

const (
	// mostRecords is the longest reading of another VM's records, in bytes.
	mostRecords = 32 << 20
	// leastPacked is the size in bytes from which records are compressed: some VMs
	// have links of 20 Mbit/s, on which thirty times 100 KB take more than a second.
	leastPacked = 2 << 10
)

// The headers of an answer: the offset below which nothing is missing, how long ago
// in milliseconds the platform confirmed it, and whether these are all keys.
const (
	endHeader   = "Heathervane-End"
	ageHeader   = "Heathervane-Age"
	wholeHeader = "Heathervane-Whole"
)

// A Meter counts.
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
	// pages are the last ones, by stream.
	pages map[string]*page
}

// A page is the records from an offset on, as they go over the wire.
type page struct {
	from, changes int64
	data          []byte
	packed        bool
}

// New returns a Pager of copies, by stream.
func New(copies map[string]*replicator.Copy, m Meter, now func() time.Time, log zerolog.Logger) *Pager {
	return &Pager{copies: copies, meter: m, now: now, log: log, pages: make(map[string]*page)}
}

// ServeHTTP answers another VM.
func (p *Pager) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	stream := q.FormValue("stream")
	c, ok := p.copies[stream]
	from, err := strconv.ParseInt(q.FormValue("from"), 10, 64)
	if !ok || err != nil {
		http.Error(w, "no such stream or offset", http.StatusBadRequest)
		return
	}
	state := c.State(from)
	body, err := p.page(stream, c, from, state.Changes)
	if err != nil {
		p.log.Error().Err(err).Msg("records for a peer were not encoded")
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set(endHeader, strconv.FormatInt(state.End, 10))
	h.Set(ageHeader, strconv.FormatInt(p.now().Sub(state.AsOf).Milliseconds(), 10))
	h.Set(wholeHeader, strconv.FormatBool(state.Snapshot))
	if body.packed {
		h.Set("Content-Encoding", "gzip")
	}
	if _, err := w.Write(body.data); err != nil {
		p.log.Info().Err(err).Str("peer", q.RemoteAddr).Msg("records not sent to a peer")
	}
}

// page gives what a stream's records from an offset on look like, which may be newer
// than the changes that are asked for. Whoever comes while it is made waits for it.
func (p *Pager) page(stream string, c *replicator.Copy, from, changes int64) (*page, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.pages[stream]; ok && last.from == from && last.changes >= changes {
		return last, nil
	}
	// Counted before they are taken, so that what comes meanwhile is encoded again.
	changes = c.State(from).Changes
	made, err := encode(c.Since(from).Records)
	if err != nil {
		return nil, err
	}
	p.meter.Count("pages.encoded", 1)
	made.from, made.changes = from, changes
	p.pages[stream] = made
	return made, nil
}

func encode(rs []replicator.Record) (*page, error) {
	data, err := cbor.Marshal(rs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) < leastPacked {
		return &page{data: data}, nil
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = w.Write(data)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, Error.Wrap(err)
	}
	return &page{data: packed.Bytes(), packed: true}, nil
}

// query is what another VM is asked for.
type query struct {
	Stream string `url:"stream"`
	From   int64  `url:"from"`
}

// Fetch gets another VM's records from an offset on.
func Fetch(ctx context.Context, from netip.AddrPort, stream string, offset int64, now func() time.Time) (replicator.Page, error) {
	q, err := sling.New().Base("http://" + from.String()).Get(Path).QueryStruct(query{stream, offset}).Request()
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	reply, err := http.DefaultClient.Do(q.WithContext(ctx))
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, mostRecords))
	if err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	if reply.StatusCode != http.StatusOK {
		return replicator.Page{}, Error.New("%s answered %d: %s", from, reply.StatusCode, strings.TrimSpace(string(data)))
	}
	return decode(reply.Header, data, now())
}

func decode(h http.Header, data []byte, now time.Time) (p replicator.Page, err error) {
	if err = cbor.Unmarshal(data, &p.Records); err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	var age int64
	var failed [3]error
	p.End, failed[0] = strconv.ParseInt(h.Get(endHeader), 10, 64)
	age, failed[1] = strconv.ParseInt(h.Get(ageHeader), 10, 64)
	p.Snapshot, failed[2] = strconv.ParseBool(h.Get(wholeHeader))
	if err = errors.Join(failed[:]...); err != nil {
		return replicator.Page{}, Error.Wrap(err)
	}
	p.AsOf = now.Add(-time.Duration(age) * time.Millisecond)
	return p, nil
}
