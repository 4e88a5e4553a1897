package commander_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// fakeLog serves one stream over HTTP and injects the faults set by a test.
type fakeLog struct {
	*httptest.Server

	mu      sync.Mutex
	start   int
	records [][]byte
	faults  faults
}

type faults struct {
	down            bool // every request gets 503
	loseResponse    bool // the connection is closed after an append is stored
	loseRequest     bool // the connection is closed before an append is stored
	rateLimit       int  // number of appends that get 429
	downAfterAppend bool // every request after an append gets 503
	concurrent      []byte
	duplicate       bool // an append is stored twice
	checkpoint      bool // an append is followed by a checkpoint, and all earlier records are dropped
}

func newLog(t *testing.T) *fakeLog {
	l := &fakeLog{start: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/config", l.append)
	mux.HandleFunc("GET /streams/config", l.read)
	l.Server = httptest.NewServer(mux)
	t.Cleanup(l.Close)
	return l
}

func (l *fakeLog) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case l.faults.rateLimit > 0:
		l.faults.rateLimit--
		http.Error(w, "rate", http.StatusTooManyRequests)
		return
	case l.faults.loseRequest:
		panic(http.ErrAbortHandler)
	}
	if l.faults.concurrent != nil {
		l.records = append(l.records, l.faults.concurrent)
	}
	l.records = append(l.records, data)
	if l.faults.duplicate {
		l.records = append(l.records, data)
	}
	if l.faults.checkpoint {
		l.appendCheckpoint()
	}
	l.faults.down = l.faults.downAfterAppend
	if l.faults.loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int{"offset": len(l.records)})
}

// appendCheckpoint appends a checkpoint and drops all earlier records.
func (l *fakeLog) appendCheckpoint() {
	var s folder.State
	for i, data := range l.records {
		s, _ = folder.Apply(s, folder.Record{Offset: uint64(i + 1), Data: data})
	}
	data, err := recorder.Wrap(recorder.KindCheckpoint, folder.NewCheckpoint(s))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	l.records = append(l.records, data)
	l.start = len(l.records)
}

type record struct {
	Offset int    `json:"offset"`
	At     int64  `json:"at"`
	Data   []byte `json:"data"`
}

func (l *fakeLog) read(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	from, errFrom := strconv.Atoi(r.FormValue("from"))
	most, errMost := strconv.Atoi(r.FormValue("most"))
	if errFrom != nil || errMost != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	records := []record{}
	for at := max(from, l.start); at <= len(l.records) && len(records) < most; at++ {
		records = append(records, record{at, time.Unix(int64(at), 0).UnixMilli(), l.records[at-1]})
	}
	writeJSON(w, map[string]any{"start": l.start, "end": len(l.records) + 1, "records": records})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func wrap(t *testing.T, kind string, v any) []byte {
	data, err := recorder.Wrap(kind, v)
	assert.NilError(t, err)
	return data
}
