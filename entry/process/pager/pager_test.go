package pager_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/pager"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// counts is a meter that counts the pages encoded.
type counts struct{ encoded atomic.Int64 }

func (c *counts) Count(_ string, n int64) { c.encoded.Add(n) }

// records returns n records of about a kilobyte each.
func records(n int) []replicator.Record {
	var rs []replicator.Record
	for i := range n {
		rs = append(rs, replicator.Record{Key: fmt.Sprint("key", i), Value: []byte(strings.Repeat("value ", 160)), Offset: int64(i)})
	}
	return rs
}

func serve(tb testing.TB, c *replicator.Copy) (netip.AddrPort, *counts) {
	tb.Helper()
	m := &counts{}
	server := httptest.NewServer(pager.New(map[string]*replicator.Copy{"s": c}, m, time.Now, zerolog.Nop()))
	tb.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), m
}

// from returns a position whose era is unknown.
func from(offset int64) replicator.Position { return replicator.Position{Offset: offset} }

func newCopy() *replicator.Copy {
	return replicator.New(func([]replicator.Record, time.Duration) {})
}

// All VMs of a zone request a new version at once. It must be encoded only once: with
// a compressor for each request, a small VM would run out of memory.
func TestSameRecordsAreEncodedOnce(t *testing.T) {
	c := newCopy()
	c.MergeSnapshot(records(200), from(200), time.Now())
	at, m := serve(t, c)
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			p, err := pager.Fetch(t.Context(), at, "s", from(0), time.Now)
			assert.Check(t, err)
			assert.Check(t, len(p.Records) == 200 && p.End == from(200) && p.Snapshot)
		})
	}
	all.Wait()
	assert.Equal(t, m.encoded.Load(), int64(1))
}

// A cached page must not hide records that arrived after it was encoded.
func TestNewRecordsAreServed(t *testing.T) {
	c := newCopy()
	c.MergeSnapshot(records(3), from(3), time.Now())
	at, _ := serve(t, c)
	_, err := pager.Fetch(t.Context(), at, "s", from(0), time.Now)
	assert.NilError(t, err)
	c.Merge([]replicator.Record{{Key: "new", Value: []byte("x"), Offset: 3}}, from(4), time.Now())
	p, err := pager.Fetch(t.Context(), at, "s", from(0), time.Now)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Records), 4)
	assert.Equal(t, p.End, from(4))
	p, err = pager.Fetch(t.Context(), at, "s", from(3), time.Now)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Records), 1)
	assert.Assert(t, !p.Snapshot)
}

// The age of a page is that of the platform's last confirmation, even if the page was
// encoded long before. If an old list were reported as fresh, VMs would keep using
// it.
func TestAgeIsMeasuredFromLastConfirmation(t *testing.T) {
	c := newCopy()
	c.MergeSnapshot(records(1), from(1), time.Now().Add(-2*time.Second))
	at, _ := serve(t, c)
	for range 2 {
		p, err := pager.Fetch(t.Context(), at, "s", from(0), time.Now)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(p.AsOf) >= 2*time.Second)
	}
	c.Confirm(time.Now())
	p, err := pager.Fetch(t.Context(), at, "s", from(0), time.Now)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(p.AsOf) < time.Second)
}

// An error response, from a VM of another version or from a different process at its
// address, must not be taken for records.
func TestErrorResponseIsAnError(t *testing.T) {
	at, _ := serve(t, newCopy())
	_, err := pager.Fetch(t.Context(), at, "unknown", from(0), time.Now)
	assert.ErrorContains(t, err, "400")
}

// A VM in trouble sends what is no complete response. It must not be taken for records, as the first
// response here is.
func TestBrokenResponsesAreErrors(t *testing.T) {
	c := newCopy()
	c.MergeSnapshot(records(1), from(1), time.Now())
	at, _ := serve(t, c)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+at.String()+pager.Path+"?stream=s&from=0", http.NoBody)
	assert.NilError(t, err)
	whole, err := http.DefaultTransport.RoundTrip(q)
	assert.NilError(t, err)
	defer whole.Body.Close()
	page, err := io.ReadAll(whole.Body)
	assert.NilError(t, err)
	assert.Equal(t, whole.StatusCode, http.StatusOK)
	var fields strings.Builder
	assert.NilError(t, whole.Header.WriteSubset(&fields, map[string]bool{"Content-Length": true}))
	head := " OK\r\n" + fields.String()
	for i, response := range []string{
		"HTTP/1.1 200" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(page), page),
		"HTTP/1.1 000" + head + "\r\n" + string(page),
		"HTTP/1.1 200" + head + "X\x01A: a\r\n\r\n" + string(page),
		"HTTP/1.1 200" + head,
		"HTTP/1.1 200" + head + "\r\n" + string(page[:len(page)-1]),
		"HTTP/1.1 200" + head + "Content-Length: 9999\r\n\r\n" + string(page),
		"HTTP/1.1 200" + head + fmt.Sprintf("Transfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(page), page),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			io.WriteString(c, response) //nolint:errcheck // the reader may have left
			c.Close()
		}))
		_, err := pager.Fetch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), "s", from(0), time.Now)
		assert.Check(t, (err == nil) == (i == 0), "%q: %v", response, err)
		server.Close()
	}
}

// BenchmarkHundredVMs measures the memory that a restart of a zone takes when a VM's
// configuration has a few hundred kilobytes.
func BenchmarkHundredVMs(b *testing.B) {
	c := newCopy()
	c.MergeSnapshot(records(300), from(300), time.Now())
	at, _ := serve(b, c)
	b.ReportAllocs()
	for range b.N {
		c.Merge([]replicator.Record{{Key: "key0", Value: []byte("x"), Offset: int64(400 + b.N)}}, from(int64(500+b.N)), time.Now())
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				_, err := pager.Fetch(b.Context(), at, "s", from(0), time.Now)
				assert.Check(b, err)
			})
		}
		all.Wait()
	}
}
