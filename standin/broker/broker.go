// Package broker is a test double of the platform's metadata store: a log with topics,
// of which those named "keyed." are compacted to the newest record of each key. It can
// reject calls, leave them unanswered, lose or delay responses, expire records, and be
// restored from a backup. It keeps everything in memory and limits no rates.
package broker

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxCallBytes is the maximum size of one append, as on the platform.
	maxCallBytes = 2 << 20
	// pageSize is the number of keys in one page of the newest records. The platform's
	// pages have 500; with a small one tests read several.
	pageSize = 8
	// maxReadWait is the maximum duration of a long poll.
	maxReadWait = 30 * time.Second
	// lateDelay is the time after which a call with the fault Late takes effect.
	lateDelay = 300 * time.Millisecond
)

// A Fault is a way in which calls fail.
type Fault string

// The faults.
const (
	None Fault = ""
	// Busy rejects calls with 503, Reset closes their connections, and Silent leaves
	// them unanswered.
	Busy   Fault = "busy"
	Reset  Fault = "reset"
	Silent Fault = "silent"
	// Lost executes appends without responding, and Late does so after lateDelay.
	Lost Fault = "lost"
	Late Fault = "late"
)

type record struct {
	offset  int64
	content []byte
}

// A topic has a single partition.
type topic struct {
	first, end int64
	records    []record
	newest     map[string]record
	changed    chan struct{}
}

// A Broker is a store.
type Broker struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults map[string]Fault
	// era is incremented when the store is restored from a backup.
	era int64
	// written holds the records of operators and upstreams, in order.
	written []write
	calls   map[string]int
}

// A write is a keyed record of an operator or an upstream.
type write struct {
	topic, key string
	value      []byte
}

// New returns an empty Broker.
func New() *Broker {
	return &Broker{topics: make(map[string]*topic), faults: make(map[string]Fault), calls: make(map[string]int), era: 1}
}

// A Backup is a copy of all topics.
type Backup struct {
	topics  map[string]*topic
	written int
}

// Backup returns a copy of all topics.
func (b *Broker) Backup() *Backup {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Backup{topics: clone(b.topics), written: len(b.written)}
}

func clone(from map[string]*topic) map[string]*topic {
	all := make(map[string]*topic, len(from))
	for name, t := range from {
		all[name] = &topic{first: t.first, end: t.end, records: slices.Clone(t.records), newest: maps.Clone(t.newest), changed: make(chan struct{})}
	}
	return all
}

// Restore restores the store from a backup. Records that were written after it are lost,
// and their offsets are assigned again.
func (b *Broker) Restore(k *Backup) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.topics
	b.topics = clone(k.topics)
	b.era++
	for _, t := range old {
		close(t.changed)
	}
}

// WriteAgain writes the newest value of each key that operators and upstreams have written
// since a backup.
func (b *Broker) WriteAgain(k *Backup) {
	b.mu.Lock()
	lost := slices.Clone(b.written[k.written:])
	b.mu.Unlock()
	type key struct{ topic, key string }
	newest := make(map[key]int, len(lost))
	for i, w := range lost {
		newest[key{w.topic, w.key}] = i
	}
	for i, w := range lost {
		if newest[key{w.topic, w.key}] == i {
			b.Put(w.topic, w.key, w.value)
		}
	}
}

// Calls returns the number of calls of a caller.
func (b *Broker) Calls(caller string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[caller]
}

// count counts a call and returns the current era.
func (b *Broker) count(caller string) (era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[caller]++
	return b.era
}

// Handler serves the store's API to one caller, by whose name faults can be injected.
func (b *Broker) Handler(caller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", b.serveAppend)
	mux.HandleFunc("GET /api/log-read", b.serveRead)
	mux.HandleFunc("GET /api/log-newest", b.serveNewest)
	mux.HandleFunc("POST /api/log-trim", b.serveTrim)
	// Operators and upstreams write through calls that the platform does not offer to
	// VMs.
	mux.HandleFunc("PUT /put", b.servePut)
	mux.HandleFunc("PUT /faults", b.serveFault)
	return b.injectFaults(caller, mux)
}

// SetFault sets the fault of a caller, or of all callers if the name is empty.
func (b *Broker) SetFault(caller string, f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[caller] = f
}

func (b *Broker) faultOf(caller string) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.faults[""]; f != None {
		return f
	}
	return b.faults[caller]
}

// injectFaults applies the fault of a caller to its calls.
func (b *Broker) injectFaults(caller string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !strings.HasPrefix(q.URL.Path, "/api/") {
			next.ServeHTTP(w, q)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(b.count(caller), 10))
		switch f := b.faultOf(caller); f {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Reset:
			panic(http.ErrAbortHandler)
		case Silent:
			// The server detects that the caller has disconnected only after the body
			// has been read.
			io.Copy(io.Discard, q.Body) //nolint:errcheck // there is no response
			<-q.Context().Done()
		case Lost, Late:
			if q.Method != http.MethodPost {
				next.ServeHTTP(w, q)
				return
			}
			b.executeUnanswered(next, q, f)
		default:
			next.ServeHTTP(w, q)
		}
	})
}

// executeUnanswered executes a call, immediately or later, and closes the connection.
func (b *Broker) executeUnanswered(next http.Handler, q *http.Request, f Fault) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxCallBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	do := func() {
		again := q.Clone(q.Context())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		next.ServeHTTP(&discardingWriter{http.Header{}}, again)
	}
	if f == Late {
		time.AfterFunc(lateDelay, do)
	} else {
		do()
	}
	panic(http.ErrAbortHandler)
}

// discardingWriter discards a response.
type discardingWriter struct{ header http.Header }

func (n *discardingWriter) Header() http.Header         { return n.header }
func (n *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (n *discardingWriter) WriteHeader(int)             {}

func (b *Broker) topic(name string) *topic {
	t, ok := b.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]record), changed: make(chan struct{})}
		b.topics[name] = t
	}
	return t
}

// add appends records and wakes waiting reads.
func (t *topic) add(name string, contents [][]byte) (offset int64) {
	offset = t.end
	for _, c := range contents {
		r := record{t.end, c}
		t.records = append(t.records, r)
		t.end++
		if key, _, ok := splitKeyed(c); ok && strings.HasPrefix(name, "keyed.") {
			t.newest[key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// splitKeyed splits a keyed record: the length of the key in one byte, the key, the value.
func splitKeyed(c []byte) (key string, value []byte, ok bool) {
	if len(c) < 1 || len(c) < 1+int(c[0]) {
		return "", nil, false
	}
	return string(c[1 : 1+int(c[0])]), c[1+int(c[0]):], true
}

func (b *Broker) serveAppend(w http.ResponseWriter, q *http.Request) {
	name := q.FormValue("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxCallBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var contents [][]byte
	for len(data) > 0 {
		if len(data) < 4 || len(data)-4 < int(binary.BigEndian.Uint32(data)) {
			http.Error(w, "truncated record", http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(data))
		contents = append(contents, data[4:n])
		data = data[n:]
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.topic(name)
	if at := q.FormValue("At"); at != "" && at != strconv.FormatInt(t.end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": t.end})
		return
	}
	offset := t.add(name, contents)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": offset, "EndOffset": t.end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck,errchkjson // the caller may have disconnected
}

func (b *Broker) serveRead(w http.ResponseWriter, q *http.Request) {
	from, err := strconv.ParseInt(q.FormValue("From"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "From is not an offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.FormValue("WaitMs"))
	until := time.After(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	for {
		b.mu.Lock()
		t := b.topic(q.FormValue("Topic"))
		changed, first, end := t.changed, t.first, t.end
		records := t.records[min(len(t.records), max(0, int(from-first))):]
		w.Header().Set("Store-Era", strconv.FormatInt(b.era, 10))
		b.mu.Unlock()
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, records, first, end)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-q.Context().Done():
			return
		}
	}
}

// writeRecords writes a read response: the end, the first retained offset and the records.
func writeRecords(w http.ResponseWriter, records []record, first, end int64) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(r.content)))
		data = append(data, r.content...)
	}
	w.Write(data)
}

type entry struct {
	Key    string
	Value  string
	Offset int64
}

type page struct {
	Entries   []entry
	HasMore   bool
	EndOffset int64
}

func (b *Broker) serveNewest(w http.ResponseWriter, q *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(b.era, 10))
	t := b.topic(q.FormValue("Topic"))
	p := page{Entries: []entry{}, EndOffset: t.end}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		r := t.newest[key]
		_, value, _ := splitKeyed(r.content)
		if key <= q.FormValue("After") || len(value) == 0 {
			continue
		}
		if len(p.Entries) == pageSize {
			p.HasMore = true
			break
		}
		p.Entries = append(p.Entries, entry{key, base64.StdEncoding.EncodeToString(value), r.offset})
	}
	writeJSON(w, http.StatusOK, p)
}

func (b *Broker) serveTrim(w http.ResponseWriter, q *http.Request) {
	before, err := strconv.ParseInt(q.FormValue("BeforeOffset"), 10, 64)
	if err != nil {
		http.Error(w, "BeforeOffset is not an offset", http.StatusBadRequest)
		return
	}
	b.Expire(q.FormValue("Topic"), before)
	w.WriteHeader(http.StatusOK)
}

// Expire deletes a topic's records before an offset.
func (b *Broker) Expire(name string, before int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.topic(name)
	before = min(before, t.end)
	if before > t.first {
		t.records = t.records[before-t.first:]
		t.first = before
	}
}

// Put appends a keyed record on behalf of an operator or an upstream. An empty value
// deletes the key.
func (b *Broker) Put(name, key string, value []byte) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	content := append(append([]byte{byte(len(key))}, key...), value...)
	b.written = append(b.written, write{name, key, value})
	return b.topic(name).add(name, [][]byte{content})
}

func (b *Broker) servePut(w http.ResponseWriter, q *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxCallBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": b.Put(q.URL.Query().Get("topic"), q.URL.Query().Get("key"), value)})
}

func (b *Broker) serveFault(w http.ResponseWriter, q *http.Request) {
	b.SetFault(q.URL.Query().Get("caller"), Fault(q.URL.Query().Get("fault")))
	w.WriteHeader(http.StatusOK)
}
