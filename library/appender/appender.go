// Package appender is the client of the platform's log: it appends records to
// named streams and reads them back in the log's order. It tells an append that
// certainly did not land from one that may have. It keeps no position, repeats
// no append, and knows nothing of what records hold.
package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"
)

var (
	// ErrRefused is the class of appends that certainly did not land: the
	// request never reached the log, or the log refused it.
	ErrRefused = errs.Class("append refused")
	// ErrUnknown is the class of appends that may have landed: the request may
	// have reached the log, and no clear answer came back. Only reading the
	// stream tells.
	ErrUnknown = errs.Class("append unknown")
	// ErrRead is the class of failed reads.
	ErrRead = errs.Class("read")
)

const (
	// MaxRecordBytes is the longest data of one record, in bytes.
	MaxRecordBytes = 1 << 20
	// maxBatch bounds the answer to a read in bytes, so that a broken or
	// hostile log can't exhaust a small VM's memory.
	maxBatch = 8 << 20
	// maxAnswer bounds the answer to an append in bytes.
	maxAnswer = 4 << 10
)

// A Record is one entry of a stream.
type Record struct {
	// Offset is its place in the stream, from 1 up.
	Offset uint64 `json:"offset"`
	// At is the log's own time of the append, to the millisecond.
	At time.Time `json:"-"`
	// Data is what was appended.
	Data []byte `json:"data"`
}

// A Batch is the answer to one read.
type Batch struct {
	// Start is the first offset that the log still keeps.
	Start uint64
	// End is the next offset to be given: the stream is read to its end once
	// a reader has every record below End.
	End uint64
	// Records are in offset order, without gaps. A log that drops old records
	// may start them above the offset asked for.
	Records []Record
}

// A Log is one platform log. It is safe for concurrent use.
type Log struct {
	base   string
	client *http.Client
}

// New returns the log at a base URL such as http://10.0.0.5:7000. It follows no
// redirects, whatever the client does: an append that was sent on would be two.
func New(base string, client *http.Client) *Log {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Log{base: base, client: &c}
}

// Append adds data to the end of a stream and returns its offset. An error is
// of the class ErrRefused or ErrUnknown; after the latter the record may still
// appear in the stream, at any later time.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	if len(data) > MaxRecordBytes {
		return 0, ErrRefused.New("%s: %d bytes of data, at most %d", stream, len(data), MaxRecordBytes)
	}
	if err := ctx.Err(); err != nil {
		return 0, ErrRefused.Wrap(err)
	}
	req, err := l.request(stream).Post("").Body(bytes.NewReader(data)).Request()
	if err != nil {
		return 0, ErrRefused.Wrap(err)
	}
	// net/http sends a POST again only where the old connection was closed
	// before a byte was written, so one call here is one append at most.
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		if neverSent(err) {
			return 0, ErrRefused.Wrap(err)
		}
		return 0, ErrUnknown.Wrap(err)
	}
	defer res.Body.Close()
	defer drain(res.Body)
	return landed(stream, res)
}

// drain reads what is left of a short body, so that its connection can be used
// again: a log that refuses many appends would otherwise get a new connection
// for each.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxAnswer)
}

// landed reads the log's answer to an append.
func landed(stream string, res *http.Response) (uint64, error) {
	refused := res.StatusCode/100 == 4 || res.StatusCode == http.StatusServiceUnavailable
	if refused {
		return 0, ErrRefused.New("%s: %s", stream, res.Status)
	}
	if res.StatusCode != http.StatusOK {
		return 0, ErrUnknown.New("%s: %s", stream, res.Status)
	}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := decode(res.Body, maxAnswer, &answer); err != nil {
		return 0, ErrUnknown.Wrap(err)
	}
	if answer.Offset == 0 {
		return 0, ErrUnknown.New("%s: answer without an offset", stream)
	}
	return answer.Offset, nil
}

// neverSent says whether an error came before a connection stood.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Read returns up to most records of a stream from an offset on, and waits up
// to wait for the first where there is none yet. A batch that is larger than
// the client's bound is asked for again with fewer records.
func (l *Log) Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (Batch, error) {
	for {
		b, err := l.read(ctx, stream, from, most, wait)
		if !errors.Is(err, errTooLarge) || most <= 1 {
			return b, ErrRead.Wrap(err)
		}
		most /= 2
	}
}

// readQuery is a read's query string.
type readQuery struct {
	From uint64 `url:"from"`
	Most int    `url:"most"`
	Wait int64  `url:"wait"`
}

// readAnswer is the log's answer to a read.
type readAnswer struct {
	Start   uint64       `json:"start"`
	End     uint64       `json:"end"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Record
	At int64 `json:"at"`
}

func (l *Log) read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (Batch, error) {
	query := readQuery{From: from, Most: most, Wait: wait.Milliseconds()}
	req, err := l.request(stream).Get("").QueryStruct(query).Request()
	if err != nil {
		return Batch{}, err
	}
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		return Batch{}, err
	}
	defer res.Body.Close()
	defer drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return Batch{}, errs.New("%s: %s", stream, res.Status)
	}
	var answer readAnswer
	if err := decode(res.Body, maxBatch, &answer); err != nil {
		return Batch{}, err
	}
	return answer.batch(stream, from)
}

// batch checks what a reader relies on. A log that answers with a gap, or with
// offsets that go back, would otherwise have a reader apply records twice or in
// another order than its peers.
func (a readAnswer) batch(stream string, from uint64) (Batch, error) {
	b := Batch{Start: a.Start, End: a.End, Records: make([]Record, 0, len(a.Records))}
	next := max(from, a.Start)
	for i, r := range a.Records {
		if r.Offset != next || r.Offset >= a.End {
			return Batch{}, errs.New("%s: record %d has offset %d, expected %d below %d",
				stream, i, r.Offset, next, a.End)
		}
		r.Record.At = time.UnixMilli(r.At)
		b.Records = append(b.Records, r.Record)
		next++
	}
	return b, nil
}

// request starts a request to a stream.
func (l *Log) request(stream string) *sling.Sling {
	return sling.New().Base(l.base + "/streams/" + url.PathEscape(stream))
}

// errTooLarge says that an answer is over its bound.
var errTooLarge = errs.New("answer too large")

// decode reads one JSON value of at most limit bytes.
func decode(body io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errTooLarge
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errs.New("answer of %d bytes: %v", len(data), err)
	}
	return nil
}
