package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/connection/streamer"
)

// startEngine starts an engine that responds to each request with the next text. The
// boot number is 7 unless a text begins with "boot N;".
func startEngine(t *testing.T, texts ...string) (string, *streamer.Streamer) {
	t.Helper()
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n >= len(texts) {
			w.Header().Set("Ran", "no")
			w.WriteHeader(http.StatusNotFound)
			return
		}
		text := texts[n]
		n++
		boot := "7"
		if rest, ok := strings.CutPrefix(text, "boot "); ok {
			boot, text, _ = strings.Cut(rest, ";")
		}
		w.Header().Set("Upstream-Boot", boot)
		io.WriteString(w, text)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), streamer.New(carrier.New(time.Now))
}

func tokenEvents(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: {\"text\":\"t%d \"}\n\n", n, n)
	}
	return b.String()
}

func doneEvent(n int) string {
	return fmt.Sprintf("event: done\ndata: {\"tokens\":%d,\"prompt\":3,\"reason\":\"stop\"}\n\n", n)
}

// readAll reads a response to its end and resumes it when it is interrupted.
func readAll(s *streamer.Stream) (string, error) {
	var b strings.Builder
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			if err := s.Resume(context.Background()); err != nil {
				return b.String(), err
			}
			continue
		}
		b.Write(t.Text)
	}
}

// Tokens arrive late, duplicated, out of order, or in two halves if a connection
// breaks. A caller that received them like this would get duplicated or missing text.
func TestTokensAreInOrderAndOnce(t *testing.T) {
	const whole = `"t1 ""t2 ""t3 ""t4 "`
	tests := []struct {
		name  string
		texts []string
		want  string
		err   error
	}{
		{"plain", []string{tokenEvents(1, 2, 3, 4) + doneEvent(4)}, whole, nil},
		{"doubled", []string{tokenEvents(1, 1, 2, 3, 2, 3, 4) + doneEvent(4)}, whole, nil},
		{"out of order", []string{tokenEvents(2, 1, 4, 3) + doneEvent(4)}, whole, nil},
		{"end before the last token", []string{tokenEvents(1, 2, 4) + doneEvent(4) + tokenEvents(3)}, whole, nil},
		{"cut and resumed", []string{tokenEvents(1, 2), tokenEvents(3, 4) + doneEvent(4)}, whole, nil},
		{"resumed with an overlap", []string{tokenEvents(1, 2, 3), tokenEvents(2, 3, 4) + doneEvent(4)}, whole, nil},
		{"cut in a line", []string{tokenEvents(1, 2) + "id: 3\nda", tokenEvents(3, 4) + doneEvent(4)}, whole, nil},
		{"a lost token", []string{tokenEvents(1, 2, 4) + doneEvent(4), tokenEvents(3, 4) + doneEvent(4)}, whole, nil},
		{"not JSON", []string{tokenEvents(1) + "id: 2\ndata: {\"text\":oops}\n\n", tokenEvents(2, 3, 4) + doneEvent(4)}, whole, nil},
		{"gone at the engine", []string{tokenEvents(1)}, `"t1 "`, streamer.ErrGone},
		{"another process", []string{tokenEvents(1), "boot 8;" + tokenEvents(2, 3, 4) + doneEvent(4)}, `"t1 "`, streamer.ErrGone},
		{"no token at all", []string{doneEvent(0)}, "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, s := startEngine(t, test.texts...)
			stream, err := s.Open(context.Background(), address, streamer.Job{ID: "a"})
			assert.NilError(t, err)
			defer stream.Close()
			text, err := readAll(stream)
			assert.Equal(t, text, test.want)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
}

// A refusal may be reported as "not run" only if the engine itself states so or if
// nothing can have reached it. Otherwise a caller would repeat a request that has run.
func TestRefusalsSayWhetherTheyRan(t *testing.T) {
	tests := []struct {
		name   string
		header string
		body   string
		ran    bool
		code   string
	}{
		{"the engine says no", "no", `{"error":{"code":"full","message":"no slot"}}`, false, "full"},
		{"nothing said", "", `{"error":{"code":"full"}}`, true, "full"},
		{"a body that is no JSON", "no", `<html>`, false, "unclear"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Ran", test.header)
				w.WriteHeader(http.StatusTooManyRequests)
				io.WriteString(w, test.body)
			}))
			defer s.Close()
			_, err := streamer.New(carrier.New(time.Now)).Open(context.Background(), strings.TrimPrefix(s.URL, "http://"), streamer.Job{})
			var r *streamer.RefusedError
			assert.Assert(t, errors.As(err, &r))
			assert.Equal(t, r.MayHaveRun, test.ran)
			assert.Equal(t, r.Code, test.code)
		})
	}
}

// If a connection breaks before the response header, the engine may have accepted the
// job and be running it, so the error must not be a refusal.
func TestABrokenConnectionIsNotARefusal(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	_, err := streamer.New(carrier.New(time.Now)).Open(context.Background(), strings.TrimPrefix(s.URL, "http://"), streamer.Job{})
	var r *streamer.RefusedError
	assert.Assert(t, err != nil && !errors.As(err, &r), "%v", err)
}

func TestNobodyListeningIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	_, err := streamer.New(carrier.New(time.Now)).Open(context.Background(), address, streamer.Job{})
	var r *streamer.RefusedError
	assert.Assert(t, errors.As(err, &r))
	assert.Assert(t, !r.MayHaveRun)
	assert.Equal(t, r.Code, "unreached")
}

func FuzzStream(f *testing.F) {
	f.Add(tokenEvents(1, 2) + doneEvent(2))
	f.Add("id: x\ndata: {}\n\n")
	f.Add("id: 1\ndata: {\"text\":\"\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.HasPrefix(text, "boot ") {
			return
		}
		address, s := startEngine(t, text)
		stream, err := s.Open(context.Background(), address, streamer.Job{})
		assert.NilError(t, err)
		defer stream.Close()
		last := uint64(0)
		for {
			token, err := stream.Next()
			if err != nil {
				return
			}
			assert.Equal(t, token.Number, last+1)
			last = token.Number
		}
	})
}

// An engine in trouble sends what is no complete response in HTTP/1.1. No stream may look complete, and
// no job like one that did not run.
func TestBrokenResponsesAreNotComplete(t *testing.T) {
	events := tokenEvents(1, 2) + doneEvent(2)
	chunks := fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", events[:5], len(events)-5, events[5:])
	for name, response := range map[string]string{
		"status 000":              "HTTP/1.1 000 No\r\nRan: no\r\n\r\n" + events,
		"status 600":              "HTTP/1.1 600 No\r\nRan: no\r\n\r\n" + events,
		"blank in the status":     "HTTP/1.1 20 0\r\nRan: no\r\n\r\n" + events,
		"blank before the colon":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks,
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01A: a\r\n\r\n" + events,
		"head that is cut off":    "HTTP/1.1 200 OK\r\nUpstream-Boot: 7",
		"stream without its end":  "HTTP/1.1 200 OK\r\n\r\n" + events[:len(events)-1],
		"stream without a token":  "HTTP/1.1 200 OK\r\n\r\n" + tokenEvents(1) + doneEvent(2),
		"stream without any byte": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			io.WriteString(c, response) //nolint:errcheck // the streamer may have left
			c.Close()
		}))
		stream, err := streamer.New(carrier.New(time.Now)).Open(t.Context(), strings.TrimPrefix(s.URL, "http://"), streamer.Job{ID: "j"})
		for err == nil {
			_, err = stream.Next()
		}
		assert.Check(t, !errors.Is(err, io.EOF), name)
		var refused *streamer.RefusedError
		assert.Check(t, !errors.As(err, &refused) || refused.MayHaveRun, "%s: %v", name, err)
		s.Close()
	}
}
