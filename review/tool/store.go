package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A record is one record of a topic of the store.
type record struct {
	offset int64
	key    string
	value  []byte
}

// A topic is a keyed topic with one partition.
type topic struct {
	end     int64
	records []record
	newest  map[string]record
	changed chan struct{}
}

// A store is a stand-in of the platform's metadata store, as far as the VMs use it.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	listener net.Listener
}

const (
	// appendTime is how long the store takes for an append (AppendMs).
	appendTime = 2 * time.Millisecond
	// pageSize is the number of entries on a page of the newest records.
	pageSize = 500
	// maxWait is the longest time that a read may wait.
	maxWait = 30 * time.Second
)

func newStore() *store {
	s := &store{topics: make(map[string]*topic), listener: listen()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-append", s.append)
	go http.Serve(s.listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, q)
	}))
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]record), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as operators and servers do, and returns the end of the topic. An empty
// value deletes the key.
func (s *store) put(name, key string, value []byte) (end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	r := record{t.end, key, value}
	t.end++
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.end
}

func (s *store) append(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	name := q.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	first, end := int64(-1), int64(0)
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+n || n < 1 || n < 1+int(data[4]) {
			break
		}
		content := data[4 : 4+n]
		data = data[4+n:]
		k := int(content[0])
		end = s.put(name, string(content[1:1+k]), content[1+k:])
		if first < 0 {
			first = end - 1
		}
	}
	writeJSON(w, map[string]int64{"Offset": first, "EndOffset": end})
}

func (s *store) newest(w http.ResponseWriter, q *http.Request) {
	type entry struct {
		Key, Value string
		Offset     int64
	}
	s.mu.Lock()
	t := s.topic(q.URL.Query().Get("Topic"))
	after := q.URL.Query().Get("After")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	keys = keys[:min(len(keys), pageSize)]
	entries := []entry{}
	for _, k := range keys {
		r := t.newest[k]
		entries = append(entries, entry{k, base64.StdEncoding.EncodeToString(r.value), r.offset})
	}
	end := t.end
	s.mu.Unlock()
	writeJSON(w, map[string]any{"Entries": entries, "HasMore": more, "EndOffset": end})
}

func (s *store) read(w http.ResponseWriter, q *http.Request) {
	name := q.URL.Query().Get("Topic")
	from, _ := strconv.ParseInt(q.URL.Query().Get("From"), 10, 64)
	wait, _ := strconv.ParseInt(q.URL.Query().Get("WaitMs"), 10, 64)
	deadline := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed, end := t.changed, t.end
		if from < end || wait == 0 {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, r := range t.records {
				if r.offset >= from {
					body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
					body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
				}
			}
			s.mu.Unlock()
			w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-q.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unusable("listen: %v", err)
	}
	return l
}
