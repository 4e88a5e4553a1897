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

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/connection/streamer"
)

// answers serves one text after another, with the same boot number unless a
// text begins with "boot N;".
func answers(t *testing.T, texts ...string) (string, *streamer.Streamer) {
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
	return strings.TrimPrefix(s.URL, "http://"), streamer.New(s.Client())
}

func tokens(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&b, "id: %d\ndata: {\"text\":\"t%d \"}\n\n", n, n)
	}
	return b.String()
}

func done(n int) string {
	return fmt.Sprintf("event: done\ndata: {\"tokens\":%d,\"prompt\":3,\"reason\":\"stop\"}\n\n", n)
}

// read takes an answer to its end, resuming where it is cut.
func read(s *streamer.Stream) (string, error) {
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

// An engine's tokens come late, doubled, out of order, or in two halves when a
// connection breaks. A sacristan would read a sentence twice, or miss the line
// with the date.
func TestTokensAreInOrderAndOnce(t *testing.T) {
	const whole = `"t1 ""t2 ""t3 ""t4 "`
	tests := []struct {
		name  string
		texts []string
		want  string
		err   error
	}{
		{"plain", []string{tokens(1, 2, 3, 4) + done(4)}, whole, nil},
		{"doubled", []string{tokens(1, 1, 2, 3, 2, 3, 4) + done(4)}, whole, nil},
		{"out of order", []string{tokens(2, 1, 4, 3) + done(4)}, whole, nil},
		{"end before the last token", []string{tokens(1, 2, 4) + done(4) + tokens(3)}, whole, nil},
		{"cut and resumed", []string{tokens(1, 2), tokens(3, 4) + done(4)}, whole, nil},
		{"resumed with an overlap", []string{tokens(1, 2, 3), tokens(2, 3, 4) + done(4)}, whole, nil},
		{"cut in a line", []string{tokens(1, 2) + "id: 3\nda", tokens(3, 4) + done(4)}, whole, nil},
		{"a lost token", []string{tokens(1, 2, 4) + done(4), tokens(3, 4) + done(4)}, whole, nil},
		{"not JSON", []string{tokens(1) + "id: 2\ndata: {\"text\":oops}\n\n", tokens(2, 3, 4) + done(4)}, whole, nil},
		{"gone at the engine", []string{tokens(1)}, `"t1 "`, streamer.ErrGone},
		{"another process", []string{tokens(1), "boot 8;" + tokens(2, 3, 4) + done(4)}, `"t1 "`, streamer.ErrGone},
		{"no token at all", []string{done(0)}, "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, s := answers(t, test.texts...)
			stream, err := s.Open(context.Background(), address, streamer.Job{ID: "a"})
			assert.NilError(t, err)
			defer stream.Close()
			text, err := read(stream)
			assert.Equal(t, text, test.want)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
}

// A refusal may be called "not run" only where the engine says so itself or
// nothing can have reached it. Where that is wrong, a caller sends again what
// has run.
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
			_, err := streamer.New(s.Client()).Open(context.Background(), strings.TrimPrefix(s.URL, "http://"), streamer.Job{})
			var r *streamer.RefusedError
			assert.Assert(t, errors.As(err, &r))
			assert.Equal(t, r.MayHaveRun, test.ran)
			assert.Equal(t, r.Code, test.code)
		})
	}
}

// An engine takes the job and its connection breaks before the answer's head.
// The job may be running, so this must not look like a refusal.
func TestABrokenConnectionIsNotARefusal(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	_, err := streamer.New(s.Client()).Open(context.Background(), strings.TrimPrefix(s.URL, "http://"), streamer.Job{})
	var r *streamer.RefusedError
	assert.Assert(t, err != nil && !errors.As(err, &r), "%v", err)
}

func TestNobodyListeningIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(s.URL, "http://")
	s.Close()
	_, err := streamer.New(http.DefaultClient).Open(context.Background(), address, streamer.Job{})
	var r *streamer.RefusedError
	assert.Assert(t, errors.As(err, &r))
	assert.Assert(t, !r.MayHaveRun)
	assert.Equal(t, r.Code, "unreached")
}

func FuzzStream(f *testing.F) {
	f.Add(tokens(1, 2) + done(2))
	f.Add("id: x\ndata: {}\n\n")
	f.Add("id: 1\ndata: {\"text\":\"\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		if strings.HasPrefix(text, "boot ") {
			return
		}
		address, s := answers(t, text)
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
