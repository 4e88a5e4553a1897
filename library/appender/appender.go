// Package appender is the client of the platform's log service. It appends
// records to named streams and reads them back in log order. Append errors
// distinguish a record that was certainly not stored from one whose outcome is
// unknown. The package keeps no read position, does not retry appends and does
// not interpret record contents.
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
	// ErrRefused is the class of appends that were certainly not stored: the
	// request never reached the log, or the log rejected it.
	ErrRefused = errs.Class("append refused")
	// ErrUnknown is the class of appends with an unknown outcome: the request may
	// have reached the log, but no conclusive response came back. The outcome can
	// only be determined by reading the stream.
	ErrUnknown = errs.Class("append unknown")
	// ErrRead is the class of failed reads.
	ErrRead = errs.Class("read")
)

const (
	// MaxRecordBytes is the maximum size of one record's data.
	MaxRecordBytes = 1 << 20
	// maxReadResponse limits the size of a read response in bytes, so that a faulty
	// or malicious log cannot exhaust the memory of a small VM.
	maxReadResponse = 8 << 20
	// maxAppendResponse limits the size of an append response in bytes.
	maxAppendResponse = 4 << 10
)

// A Record is one entry of a stream.
type Record struct {
	// Offset is the position in the stream, starting at 1.
	Offset uint64 `json:"offset"`
	// At is the time of the append by the log's clock, with millisecond precision.
	At time.Time `json:"-"`
	// Data is the appended payload.
	Data []byte `json:"data"`
}

// A Batch is the result of one read.
type Batch struct {
	// Start is the first offset that the log still retains.
	Start uint64
	// End is the offset that the next append will get. A reader has reached the
	// end of the stream once it has every record below End.
	End uint64
	// Records are in offset order, without gaps. If the log has dropped old
	// records, they may start above the requested offset.
	Records []Record
}

// A Log is a client of one platform log. It is safe for concurrent use.
type Log struct {
	base   string
	client *http.Client
}

// New returns a client for the log at a base URL such as http://10.0.0.5:7000.
// It disables redirects, whatever the policy of the given client: a redirected
// append could be stored twice.
func New(base string, client *http.Client) *Log {
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Log{base: base, client: &c}
}

// Append adds data to the end of a stream and returns its offset. Errors are of
// the class ErrRefused or ErrUnknown; after ErrUnknown, the record may still
// appear in the stream at any later time.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	if len(data) > MaxRecordBytes {
		return 0, ErrRefused.New("%s: record is %d bytes long, the maximum is %d", stream, len(data), MaxRecordBytes)
	}
	if err := ctx.Err(); err != nil {
		return 0, ErrRefused.Wrap(err)
	}
	req, err := l.newRequest(stream).Post("").Body(bytes.NewReader(data)).Request()
	if err != nil {
		return 0, ErrRefused.Wrap(err)
	}
	// net/http retries a POST only if a reused connection was closed before any
	// byte was written, so one call here makes at most one append.
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		if isDialError(err) {
			return 0, ErrRefused.Wrap(err)
		}
		return 0, ErrUnknown.Wrap(err)
	}
	defer res.Body.Close()
	defer drain(res.Body)
	return parseAppendResponse(stream, res)
}

// drain reads the rest of a short body so that the connection can be reused.
// Otherwise every append that the log rejects would open a new connection.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxAppendResponse)
}

// parseAppendResponse returns the offset from the log's response to an append.
func parseAppendResponse(stream string, res *http.Response) (uint64, error) {
	refused := res.StatusCode/100 == 4 || res.StatusCode == http.StatusServiceUnavailable
	if refused {
		return 0, ErrRefused.New("%s: %s", stream, res.Status)
	}
	if res.StatusCode != http.StatusOK {
		return 0, ErrUnknown.New("%s: %s", stream, res.Status)
	}
	var response struct {
		Offset uint64 `json:"offset"`
	}
	if err := decode(res.Body, maxAppendResponse, &response); err != nil {
		return 0, ErrUnknown.Wrap(err)
	}
	if response.Offset == 0 {
		return 0, ErrUnknown.New("%s: response has no offset", stream)
	}
	return response.Offset, nil
}

// isDialError reports whether an error occurred before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Read returns up to limit records of a stream, starting at offset from. If there
// are none yet, it waits up to wait for the first. If the response exceeds
// maxReadResponse, Read retries with half as many records.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	for {
		b, err := l.read(ctx, stream, from, limit, wait)
		if !errors.Is(err, errTooLarge) || limit <= 1 {
			return b, ErrRead.Wrap(err)
		}
		limit /= 2
	}
}

// readQuery is the query string of a read request.
type readQuery struct {
	From  uint64 `url:"from"`
	Limit int    `url:"most"`
	Wait  int64  `url:"wait"`
}

// readResponse is the body of the log's response to a read.
type readResponse struct {
	Start   uint64       `json:"start"`
	End     uint64       `json:"end"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Record
	At int64 `json:"at"`
}

func (l *Log) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	query := readQuery{From: from, Limit: limit, Wait: wait.Milliseconds()}
	req, err := l.newRequest(stream).Get("").QueryStruct(query).Request()
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
	var response readResponse
	if err := decode(res.Body, maxReadResponse, &response); err != nil {
		return Batch{}, err
	}
	return response.toBatch(stream, from)
}

// toBatch validates the offsets of a response. A gap or an offset that goes back
// would make a reader apply records twice or in a different order than its peers.
func (a readResponse) toBatch(stream string, from uint64) (Batch, error) {
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

// newRequest returns a request builder for a stream.
func (l *Log) newRequest(stream string) *sling.Sling {
	return sling.New().Base(l.base + "/streams/" + url.PathEscape(stream))
}

// errTooLarge is returned for a response that exceeds its size limit.
var errTooLarge = errs.New("response too large")

// decode reads a JSON value of at most limit bytes.
func decode(body io.Reader, limit int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errTooLarge
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errs.New("decoding response of %d bytes: %v", len(data), err)
	}
	return nil
}
