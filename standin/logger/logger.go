// Package logger is a stand-in for the platform's append-only log: named
// streams with offsets, a bound on appends a second, and records that are kept
// for a limited time. It keeps everything in memory.
package logger

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/heathervane/heathervane/standin/answerer"
	"github.com/heathervane/heathervane/standin/faulter"
)

// A Config sets up a log.
type Config struct {
	// Rate bounds appends a second over all streams.
	Rate float64
	// Keep is how long records are kept.
	Keep time.Duration
	// Now reads the time.
	Now func() time.Time
}

const (
	// maxData is the longest record in bytes.
	maxData = 1 << 20
	// maxAnswer bounds the data of one answer in bytes, beyond its first record.
	maxAnswer = 4 << 20
	// maxMost bounds the records of one answer, maxWait a reader's wait.
	maxMost = 10_000
	maxWait = 30 * time.Second
	// burst is how many seconds of the rate may come at once.
	burst = 0.25
)

// A Logger is one log. It is safe for concurrent use.
type Logger struct {
	config Config
	faults *faulter.Faulter
	limit  *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

// A stream is what is kept of one stream. The record at records[0] has the
// offset start.
type stream struct {
	start   uint64
	records []record
	grown   chan struct{} // closed at the next append
}

// A record is one append, in its form for callers.
type record struct {
	Offset uint64 `json:"offset"`
	At     int64  `json:"at"`
	Data   []byte `json:"data"`
}

// New returns an empty log.
func New(c Config) *Logger {
	return &Logger{
		config:  c,
		faults:  faulter.New(nil),
		limit:   rate.NewLimiter(rate.Limit(c.Rate), max(1, int(c.Rate*burst))),
		streams: make(map[string]*stream),
	}
}

// Handler serves appends, reads and faults.
func (l *Logger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", l.append)
	mux.HandleFunc("GET /streams/{name}", l.read)
	return l.faults.Wrap(mux)
}

// appendAnswer gives the place of an append.
type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

func (l *Logger) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxData))
	if err != nil {
		answerer.Error(w, http.StatusRequestEntityTooLarge, "body", err.Error())
		return
	}
	now := l.config.Now()
	if !l.limit.AllowN(now, 1) {
		answerer.Error(w, http.StatusTooManyRequests, "rate", "too many appends a second")
		return
	}
	offset := l.add(r.PathValue("name"), now, data)
	if l.faults.Double() {
		l.add(r.PathValue("name"), now, data)
	}
	answerer.JSON(w, http.StatusOK, appendAnswer{offset})
}

// add appends one record and wakes readers.
func (l *Logger) add(name string, now time.Time, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(now.Add(-l.config.Keep))
	offset := s.end()
	s.records = append(s.records, record{Offset: offset, At: now.UnixMilli(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// stream returns a stream, which needs no making.
func (l *Logger) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{start: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) end() uint64 { return s.start + uint64(len(s.records)) }

// drop forgets the records from before a time.
func (s *stream) drop(until time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].At < until.UnixMilli() {
		n++
	}
	if n == 0 {
		return
	}
	s.records = append([]record(nil), s.records[n:]...)
	s.start += uint64(n)
}

// readAnswer is a piece of a stream.
type readAnswer struct {
	Start   uint64   `json:"start"`
	End     uint64   `json:"end"`
	Records []record `json:"records"`
}

func (l *Logger) read(w http.ResponseWriter, r *http.Request) {
	var from, most, wait uint64
	for name, v := range map[string]*uint64{"from": &from, "most": &most, "wait": &wait} {
		if err := number(r, name, v); err != nil {
			answerer.Error(w, http.StatusBadRequest, name, err.Error())
			return
		}
	}
	if most == 0 {
		most = 1000
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait)) //nolint:gosec // bounded by number
	defer cancel()
	for {
		a, grown := l.take(r.PathValue("name"), from, int(min(most, maxMost)))
		if len(a.Records) > 0 || ctx.Err() != nil {
			answerer.JSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// take returns the records from an offset on, and what tells of the next.
func (l *Logger) take(name string, from uint64, most int) (readAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(l.config.Now().Add(-l.config.Keep))
	a := readAnswer{Start: s.start, End: s.end(), Records: []record{}}
	if from >= s.end() {
		return a, s.grown
	}
	size := 0
	for _, v := range s.records[max(from, s.start)-s.start:] {
		size += len(v.Data)
		if len(a.Records) == most || (size > maxAnswer && len(a.Records) > 0) {
			break
		}
		a.Records = append(a.Records, v)
	}
	return a, s.grown
}

// number reads a query parameter where it stands.
func number(r *http.Request, name string, into *uint64) error {
	text := r.URL.Query().Get(name)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseUint(text, 10, 40)
	if err == nil {
		*into = v
	}
	return err
}
