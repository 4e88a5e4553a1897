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
	"strings"
	"sync"
	"time"
)

// A store is a stand-in of the platform's store: keyed topics with one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	address string
}

type topic struct {
	records [][]byte
	newest  map[string]int
	changed chan struct{}
}

func newStore() *store {
	s := &store{topics: make(map[string]*topic)}
	l := listen()
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	go http.Serve(l, mux)
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]int), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a keyed record as the operator or a runner; an empty value deletes the key. Its
// return is the store's acknowledgement.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) add(record []byte) {
	t.newest[string(record[1:1+int(record[0])])] = len(t.records)
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("Topic")
	data, err := io.ReadAll(r.Body)
	if err != nil || !strings.HasPrefix(name, "keyed.") || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		t.add(data[4 : 4+n])
		data = data[4+n:]
	}
	answer(w, map[string]any{"Offset": first, "EndOffset": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("From"))
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.FormValue("Topic"))
		end, changed := len(t.records), t.changed
		var records [][]byte
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		w.Header().Set("Store-Era", "1")
		if from > end {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || wait == 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range records {
				data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
			}
			w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.FormValue("Topic"))
	var keys []string
	for key := range t.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	entries, more := []entry{}, false
	for _, key := range keys {
		value := t.records[t.newest[key]][1+len(key):]
		if key <= r.FormValue("After") || len(value) == 0 {
			continue
		}
		if more = len(entries) == 500; more {
			break
		}
		entries = append(entries, entry{key, base64.StdEncoding.EncodeToString(value), t.newest[key]})
	}
	answer(w, map[string]any{"Entries": entries, "HasMore": more, "EndOffset": len(t.records)})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
