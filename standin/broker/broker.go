// Package broker stands in for the users' platform's metadata store: a log with
// topics, of which those named "keyed." keep the newest record of each key. It
// plays its faults as well: refusals, silence, lost and late answers, and
// forgotten history. It keeps all in memory and checks no rate.
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
	// mostCall bounds one append in bytes, as the platform does.
	mostCall = 2 << 20
	// pageSize is how many keys one page of the newest records has. The
	// platform's has 500; a small one makes tests meet several.
	pageSize = 8
	// longest bounds the wait of a reading.
	longest = 30 * time.Second
	// lateTime is how long after its call a late append is carried out.
	lateTime = 300 * time.Millisecond
)

// A Fault is what goes wrong with calls.
type Fault string

// The faults.
const (
	None Fault = ""
	// Busy refuses calls with 503, Reset closes their connections, Silent
	// answers nothing.
	Busy   Fault = "busy"
	Reset  Fault = "reset"
	Silent Fault = "silent"
	// Lost carries appends out and does not answer, Late does so later.
	Lost Fault = "lost"
	Late Fault = "late"
)

type record struct {
	offset  int64
	content []byte
}

// A topic is one partition: users of this stand-in have one each.
type topic struct {
	first, end int64
	records    []record
	newest     map[string]record
	changed    chan struct{}
}

// A Broker is the store.
type Broker struct {
	mu     sync.Mutex
	topics map[string]*topic
	faults map[string]Fault
	// era rises by one each time that the store comes back from a backup.
	era int64
	// written are the records that operators and upstreams wrote, in order.
	written []write
	calls   map[string]int
}

// A write is a keyed record that was written by another than the system.
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

// Backup returns a copy of what the store holds.
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

// Restore has the store come back from a backup. What was written since is gone, and its
// offsets are given out again.
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

// WriteAgain writes what operators and upstreams had written since a backup and the store
// has lost: the newest value of each key.
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

// Calls is how many calls a caller has made.
func (b *Broker) Calls(caller string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[caller]
}

// count counts a call and returns the era.
func (b *Broker) count(caller string) (era int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[caller]++
	return b.era
}

// Handler serves the store's calls to one caller, named so that faults can
// strike it alone; the empty fault target strikes all.
func (b *Broker) Handler(caller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", b.append)
	mux.HandleFunc("GET /api/log-read", b.read)
	mux.HandleFunc("GET /api/log-newest", b.latest)
	mux.HandleFunc("POST /api/log-trim", b.trim)
	// What operators and upstreams of the platform do is not open to the
	// system, and has calls of its own here.
	mux.HandleFunc("PUT /put", b.put)
	mux.HandleFunc("PUT /faults", b.fault)
	return b.gate(caller, mux)
}

// Strike sets the fault of a caller; empty names all.
func (b *Broker) Strike(caller string, f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[caller] = f
}

func (b *Broker) struck(caller string) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.faults[""]; f != None {
		return f
	}
	return b.faults[caller]
}

// gate plays faults.
func (b *Broker) gate(caller string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !strings.HasPrefix(q.URL.Path, "/api/") {
			next.ServeHTTP(w, q)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatInt(b.count(caller), 10))
		switch f := b.struck(caller); f {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Reset:
			panic(http.ErrAbortHandler)
		case Silent:
			// Only once the body has been read does the server notice that the
			// caller leaves, and end this.
			io.Copy(io.Discard, q.Body) //nolint:errcheck // nobody is answered
			<-q.Context().Done()
		case Lost, Late:
			if q.Method != http.MethodPost {
				next.ServeHTTP(w, q)
				return
			}
			b.lose(next, q, f)
		default:
			next.ServeHTTP(w, q)
		}
	})
}

// lose carries a call out, now or later, and does not answer it.
func (b *Broker) lose(next http.Handler, q *http.Request, f Fault) {
	body, err := io.ReadAll(io.LimitReader(q.Body, mostCall))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	do := func() {
		again := q.Clone(q.Context())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		next.ServeHTTP(&nowhere{http.Header{}}, again)
	}
	if f == Late {
		time.AfterFunc(lateTime, do)
	} else {
		do()
	}
	panic(http.ErrAbortHandler)
}

// nowhere takes an answer that nobody gets.
type nowhere struct{ header http.Header }

func (n *nowhere) Header() http.Header         { return n.header }
func (n *nowhere) Write(p []byte) (int, error) { return len(p), nil }
func (n *nowhere) WriteHeader(int)             {}

func (b *Broker) topic(name string) *topic {
	t, ok := b.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]record), changed: make(chan struct{})}
		b.topics[name] = t
	}
	return t
}

// add appends contents and wakes who waits.
func (t *topic) add(name string, contents [][]byte) (offset int64) {
	offset = t.end
	for _, c := range contents {
		r := record{t.end, c}
		t.records = append(t.records, r)
		t.end++
		if key, _, ok := keyed(c); ok && strings.HasPrefix(name, "keyed.") {
			t.newest[key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// keyed takes a keyed record apart: a byte of length, the key, the value.
func keyed(c []byte) (key string, value []byte, ok bool) {
	if len(c) < 1 || len(c) < 1+int(c[0]) {
		return "", nil, false
	}
	return string(c[1 : 1+int(c[0])]), c[1+int(c[0]):], true
}

func (b *Broker) append(w http.ResponseWriter, q *http.Request) {
	name := q.FormValue("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, mostCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var contents [][]byte
	for len(data) > 0 {
		if len(data) < 4 || len(data)-4 < int(binary.BigEndian.Uint32(data)) {
			http.Error(w, "a record is cut", http.StatusBadRequest)
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
		answer(w, http.StatusPreconditionFailed, map[string]int64{"EndOffset": t.end})
		return
	}
	offset := t.add(name, contents)
	answer(w, http.StatusOK, map[string]int64{"Offset": offset, "EndOffset": t.end})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck,errchkjson // a caller that left is no matter here
}

func (b *Broker) read(w http.ResponseWriter, q *http.Request) {
	from, err := strconv.ParseInt(q.FormValue("From"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "From is no offset", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.FormValue("WaitMs"))
	until := time.After(min(longest, time.Duration(wait)*time.Millisecond))
	for {
		b.mu.Lock()
		t := b.topic(q.FormValue("Topic"))
		changed, first, end := t.changed, t.first, t.end
		records := t.records[min(len(t.records), max(0, int(from-first))):]
		w.Header().Set("Store-Era", strconv.FormatInt(b.era, 10))
		b.mu.Unlock()
		if from < first || from > end {
			answer(w, http.StatusGone, map[string]int64{"FirstOffset": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			send(w, records, first, end)
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

// send writes a reading: the end and the first offset kept, and the records.
func send(w http.ResponseWriter, records []record, first, end int64) {
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

func (b *Broker) latest(w http.ResponseWriter, q *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(b.era, 10))
	t := b.topic(q.FormValue("Topic"))
	p := page{Entries: []entry{}, EndOffset: t.end}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		r := t.newest[key]
		_, value, _ := keyed(r.content)
		if key <= q.FormValue("After") || len(value) == 0 {
			continue
		}
		if len(p.Entries) == pageSize {
			p.HasMore = true
			break
		}
		p.Entries = append(p.Entries, entry{key, base64.StdEncoding.EncodeToString(value), r.offset})
	}
	answer(w, http.StatusOK, p)
}

func (b *Broker) trim(w http.ResponseWriter, q *http.Request) {
	before, err := strconv.ParseInt(q.FormValue("BeforeOffset"), 10, 64)
	if err != nil {
		http.Error(w, "BeforeOffset is no offset", http.StatusBadRequest)
		return
	}
	b.Forget(q.FormValue("Topic"), before)
	w.WriteHeader(http.StatusOK)
}

// Forget drops a topic's history before an offset.
func (b *Broker) Forget(name string, before int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.topic(name)
	before = min(before, t.end)
	if before > t.first {
		t.records = t.records[before-t.first:]
		t.first = before
	}
}

// Put writes a keyed record as operators and upstreams do; no value drops the
// key.
func (b *Broker) Put(name, key string, value []byte) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	content := append(append([]byte{byte(len(key))}, key...), value...)
	b.written = append(b.written, write{name, key, value})
	return b.topic(name).add(name, [][]byte{content})
}

func (b *Broker) put(w http.ResponseWriter, q *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, q.Body, mostCall))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer(w, http.StatusOK, map[string]int64{"Offset": b.Put(q.URL.Query().Get("topic"), q.URL.Query().Get("key"), value)})
}

func (b *Broker) fault(w http.ResponseWriter, q *http.Request) {
	b.Strike(q.URL.Query().Get("caller"), Fault(q.URL.Query().Get("fault")))
	w.WriteHeader(http.StatusOK)
}
