package appender_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/appender"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a server with the given handler and returns a client for it.
func serve(t *testing.T, h http.HandlerFunc) *appender.Log {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return appender.New(s.URL, s.Client())
}

// respond returns a handler that sends a fixed status and body.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // a test server
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// Append errors must separate records that were certainly not stored from those
// that may have been. A caller reports a booking as not run only for the former;
// misclassifying a stored record would make the booking run twice.
func TestAppend(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name             string
		handler          http.HandlerFunc
		offset           uint64
		refused, unknown bool
	}{
		{"stored", respond(200, `{"offset":7}`), 7, false, false},
		{"rate limited", respond(429, ""), 0, true, false},
		{"unavailable", respond(503, ""), 0, true, false},
		{"bad request", respond(400, ""), 0, true, false},
		{"server error", respond(500, ""), 0, false, true},
		{"bad gateway", respond(502, ""), 0, false, true},
		{"no offset", respond(200, `{}`), 0, false, true},
		{"redirected", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/elsewhere" {
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
				return
			}
			io.WriteString(w, `{"offset":7}`)
		}, 0, false, true},
		{"invalid JSON", respond(200, `<html>`), 0, false, true},
		{"too large", respond(200, strings.Repeat(" ", 1<<20)), 0, false, true},
		{"connection aborted", abort, 0, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			offset, err := serve(t, test.handler).Append(t.Context(), "s", []byte("x"))
			assert.Equal(t, offset, test.offset)
			assert.Equal(t, appender.ErrRefused.Has(err), test.refused, "%v", err)
			assert.Equal(t, appender.ErrUnknown.Has(err), test.unknown, "%v", err)
		})
	}
}

func TestAppendConnectionRefused(t *testing.T) {
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	_, err = appender.New("http://"+address, &http.Client{}).Append(t.Context(), "s", []byte("x"))
	assert.Assert(t, appender.ErrRefused.Has(err), "%v", err)
	_, err = appender.New("http://"+address, &http.Client{}).Append(t.Context(), "s", make([]byte, appender.MaxRecordBytes+1))
	assert.Assert(t, appender.ErrRefused.Has(err), "%v", err)
}

func TestRead(t *testing.T) {
	tests := []struct {
		name, body string
		offsets    int // -1 for an error
	}{
		{"empty", `{"start":1,"end":5,"records":[]}`, 0},
		{"two", `{"start":1,"end":7,"records":[{"offset":5,"at":1500,"data":"eA=="},{"offset":6}]}`, 2},
		{"dropped records", `{"start":6,"end":7,"records":[{"offset":6}]}`, 1},
		{"gap", `{"start":1,"end":8,"records":[{"offset":5},{"offset":7}]}`, -1},
		{"offset goes back", `{"start":1,"end":8,"records":[{"offset":4}]}`, -1},
		{"offset past the end", `{"start":1,"end":5,"records":[{"offset":5}]}`, -1},
		{"invalid JSON", `<html>`, -1},
		{"too large", strings.Repeat(" ", 9<<20), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, err := serve(t, respond(200, test.body)).Read(t.Context(), "s", 5, 100, 0)
			if test.offsets < 0 {
				assert.Assert(t, appender.ErrRead.Has(err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(b.Records), test.offsets)
			if test.name == "two" {
				assert.Assert(t, b.Records[0].At.Equal(time.UnixMilli(1500)))
				assert.Equal(t, string(b.Records[0].Data), "x")
			}
		})
	}
}

func TestReadRetriesWithFewerRecords(t *testing.T) {
	l := serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Query().Get("wait"), "1500")
		assert.Equal(t, r.URL.Path, "/streams/s")
		if r.URL.Query().Get("most") != "25" {
			io.WriteString(w, strings.Repeat(" ", 9<<20))
		}
		io.WriteString(w, `{"start":1,"end":2,"records":[{"offset":1}]}`)
	})
	b, err := l.Read(t.Context(), "s", 1, 100, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records), 1)
}
