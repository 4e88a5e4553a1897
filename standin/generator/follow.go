package generator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

// A follower is one reader of a stream. It runs in the goroutine of its call.
type follower struct {
	engine *Generator
	stream *stream
	wake   chan struct{}
	epoch  int
	sent   int // tokens
	held   int // token kept back by the fault reorder, 0 for none
	cut    int // token after which the fault cut applies, 0 for never
}

// A view is what a reader sees of a stream at one moment.
type view struct {
	ready int
	state state
	gone  bool
}

// open adds a reader that has everything up to token sent.
func (g *Generator) open(s *stream, sent int) *follower {
	f := &follower{engine: g, stream: s, wake: make(chan struct{}, 1), sent: sent}
	g.mu.Lock()
	f.epoch = s.epoch
	s.readers[f.wake] = struct{}{}
	g.mu.Unlock()
	return f
}

func (f *follower) close() {
	f.engine.mu.Lock()
	delete(f.stream.readers, f.wake)
	f.engine.mu.Unlock()
}

func (f *follower) look() view {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	s := f.stream
	return view{s.ready(), s.state, s.state >= cut || s.epoch != f.epoch}
}

// wait returns false where the reader has gone.
func (f *follower) wait(ctx context.Context) bool {
	select {
	case <-f.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// tokenData and doneData are the data of the events.
type tokenData struct {
	Text string `json:"text"`
}

type doneData struct {
	Tokens int    `json:"tokens"`
	Prompt int    `json:"prompt"`
	Cached int    `json:"cached"`
	Reason string `json:"reason"`
}

// follow sends a stream from a token on, until its end or until the reader has
// gone. The stream itself goes on without readers.
func (g *Generator) follow(w http.ResponseWriter, r *http.Request, s *stream, sent int) {
	f := g.open(s, sent)
	defer f.close()
	f.cut = g.faults.Cut()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for {
		v := f.look()
		if v.gone {
			panic(http.ErrAbortHandler)
		}
		data := f.tokens(v.ready)
		last := v.state >= made && f.sent == s.tokens
		if last {
			data = append(data, f.end()...)
		}
		if _, err := w.Write(data); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		if f.cut > 0 && f.sent >= f.cut {
			panic(http.ErrAbortHandler)
		}
		if last {
			g.delivered(s)
			return
		}
		if !f.wait(r.Context()) {
			return
		}
	}
}

// tokens encodes what is ready and not yet sent, with the faults.
func (f *follower) tokens(ready int) []byte {
	var data []byte
	if f.cut > 0 {
		ready = min(ready, f.cut)
	}
	for f.sent < ready {
		f.sent++
		n := f.sent
		if f.held == 0 && n < f.stream.tokens && f.engine.faults.Reorder() {
			f.held = n
			continue
		}
		data = f.token(data, n)
		if f.held != 0 {
			data = f.token(data, f.held)
			f.held = 0
		}
	}
	return data
}

// token appends one event, or two with the fault double.
func (f *follower) token(data []byte, n int) []byte {
	times := 1
	if f.engine.faults.Double() {
		times = 2
	}
	for range times {
		data = append(data, "id: "...)
		data = strconv.AppendInt(data, int64(n), 10)
		data = append(data, "\ndata: "...)
		data = append(data, encode(tokenData{Text(f.stream.prompt.digest, n)})...)
		data = append(data, "\n\n"...)
	}
	return data
}

// end is the last event.
func (f *follower) end() []byte {
	s := f.stream
	data := append([]byte("event: done\ndata: "), encode(doneData{s.tokens, s.prompt.tokens, s.cached, s.reason})...)
	return append(data, "\n\n"...)
}

func encode[T any](v T) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types are plain
	}
	return data
}

// delivered frees the memory of an answer whose end was written to its reader.
// Its id stays known for a while.
func (g *Generator) delivered(s *stream) {
	g.mu.Lock()
	g.release(s, freed)
	g.mu.Unlock()
}
