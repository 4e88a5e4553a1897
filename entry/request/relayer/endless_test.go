package relayer_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An endlessUpstream answers each request with a beginning and then with the same bytes again
// and again, until its caller closes the connection.
type endlessUpstream struct {
	begin, repeat string
	requests      atomic.Int64
	sent          atomic.Int64
}

func (b *harness) endlessUpstream(id, service, begin, repeat string) *endlessUpstream {
	b.t.Helper()
	u := &endlessUpstream{begin: begin, repeat: strings.Repeat(repeat, 1+32<<10/len(repeat))}
	b.serveConnections(id, service, u.serve)
	return u
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	u.requests.Add(1)
	_, err = io.WriteString(c, strings.ReplaceAll(u.begin, "ID", q.Header.Get("Id")))
	for err == nil {
		var n int
		n, err = io.WriteString(c, u.repeat)
		u.sent.Add(int64(n))
	}
}

const (
	okHead = "HTTP/1.1 200 OK\r\nSealed: 1\r\nId: ID\r\n"
	// maxEndless is how much of an endless answer is read at most: the longest answer without
	// a length, and what the connection's buffers hold.
	maxEndless = 16 << 20
)

// An upstream sends bytes without end that are no answer. A VM that reads on until the deadline
// loses the request, which another upstream could have served, and its processor time.
func TestEndlessAnswersAreLeft(t *testing.T) {
	for name, answer := range map[string][2]string{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"header":                {okHead + "A: ", "x"},
		"headers":               {okHead, "A: b\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"garbage":               {"", "\x00\xffgarbage"},
		"chunk size":            {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":       {okHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":               {okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n"},
		"body without a length": {okHead + "\r\n", "x"},
		"body in chunks":        {okHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"body of great length":  {okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		"body of a failure":     {"HTTP/1.1 500 No\r\nId: ID\r\n\r\n", "x"},
		"body of a rejection":   {"HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: ID\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, routes())
			u := b.endlessUpstream("u1", "plain", answer[0], answer[1])
			b.upstream("u2", "plain", answerSealed)
			start := time.Now()
			for range 8 {
				o := b.do(b.request(http.MethodGet, "/safe/x", ""))
				assert.NilError(t, o.err)
				assert.Equal(t, o.status, http.StatusOK)
				assert.Equal(t, o.body, "done")
			}
			assert.Assert(t, time.Since(start) < 3*time.Second, "%v", time.Since(start))
			assert.Assert(t, u.requests.Load() > 0)
			read := u.sent.Load() / u.requests.Load()
			assert.Assert(t, read <= maxEndless, "%d bytes of one answer were read", read)
		})
	}
}

// The same in place of a stream: the caller gets the stream from another engine.
func TestEndlessStreamsAreLeft(t *testing.T) {
	for name, repeat := range map[string]string{
		"event":       "x",
		"blank lines": "\n",
		"comments":    ": no event\n\n",
		"events":      "id: 1\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, routes())
			u := b.endlessUpstream("u1", "model", okHead+"\r\n", repeat)
			start := time.Now()
			o := b.do(b.request(http.MethodPost, "/stream/x", ""))
			assert.Assert(t, o.err != nil || o.status == http.StatusBadGateway, "an endless stream looks complete")
			assert.Assert(t, time.Since(start) < 3*time.Second, "%v", time.Since(start))
			assert.Assert(t, u.sent.Load() <= 2*maxEndless, "%d bytes were read", u.sent.Load())
		})
	}
}

// The answer to HEAD states the length of a body that it does not have.
func TestLengthOfAMissingBodyIsNotLimited(t *testing.T) {
	b := newHarness(t, routes())
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		w.Header().Set("Content-Length", "9000000000")
	})
	o := b.do(b.request(http.MethodHead, "/safe/x", ""))
	assert.NilError(t, o.err)
	assert.Equal(t, o.status, http.StatusOK)
	assert.Equal(t, o.header.Get("Content-Length"), "9000000000")
}

// Long answers that state their length must pass whole, several at once.
func TestLongAnswersWithALengthPass(t *testing.T) {
	b := newHarness(t, routes())
	long := bytes.Repeat([]byte("0123456789abcdef"), 512<<10)
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		w.Header().Set("Content-Length", strconv.Itoa(len(long)))
		w.Write(long)
	})
	var callers sync.WaitGroup
	for range 4 {
		q := b.request(http.MethodPost, "/unsafe/x", "b")
		callers.Go(func() {
			o := b.do(q)
			assert.Check(t, o.err)
			assert.Check(t, o.body == string(long))
		})
	}
	callers.Wait()
}

// An answer that does not state its length may be long, and must pass whole.
func TestLongAnswersWithoutALengthPass(t *testing.T) {
	b := newHarness(t, routes())
	long := bytes.Repeat([]byte("0123456789abcdef"), 100<<10)
	b.upstream("u1", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sealed", "1")
		w.(http.Flusher).Flush() //nolint:forcetypeassert // net/http's own
		w.Write(long)
	})
	o := b.do(b.request(http.MethodPost, "/unsafe/x", "b"))
	assert.NilError(t, o.err)
	assert.Assert(t, o.body == string(long))
}
