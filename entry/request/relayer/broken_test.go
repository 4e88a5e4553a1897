package relayer_test

import (
	"bufio"
	"fmt"
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

// A rawUpstream answers each request with the same bytes, in which ID stands for the ID of the
// request, and closes the connection.
type rawUpstream struct {
	answer string
	// early sends the answer before the upload is read.
	early bool
	// ran has the IDs of the requests, and runs is their number.
	ran  sync.Map
	runs atomic.Int64
}

func (u *rawUpstream) hasRun(id string) bool {
	_, ok := u.ran.Load(id)
	return ok
}

func (b *harness) rawUpstream(id, service, answer string, early bool) *rawUpstream {
	b.t.Helper()
	u := &rawUpstream{answer: answer, early: early}
	b.serveConnections(id, service, u.serve)
	return u
}

func (u *rawUpstream) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	u.ran.Store(q.Header.Get("Id"), true)
	u.runs.Add(1)
	if !u.early {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
	}
	io.WriteString(c, strings.ReplaceAll(u.answer, "ID", q.Header.Get("Id"))) //nolint:errcheck // the caller may have left
	if u.early {
		// The unread upload makes the close a reset.
		time.Sleep(10 * time.Millisecond)
	}
}

// directAndForwarded runs a test with a VM whose upstreams answer requests, and with one that
// forwards its requests to it.
func directAndForwarded(t *testing.T, test func(t *testing.T, at, caller *harness)) {
	t.Helper()
	t.Run("direct", func(t *testing.T) {
		b := newHarness(t, routes())
		test(t, b, b)
	})
	t.Run("forwarded", func(t *testing.T) {
		b := newHarness(t, routes())
		test(t, b, newCutOffVM(t, b.servePeers()))
	})
}

// attempts is how many requests meet a broken upstream.
const attempts = 10

// upload is a request body that the buffers of a connection do not hold completely.
var upload = strings.Repeat("x", 900<<10)

// An upstream resets the connection during the upload, after a part of an answer without a length.
// The part must not look like a complete answer, nor the request like one that did not run.
func TestAnswerCutOffDuringAnUpload(t *testing.T) {
	for route, part := range map[string]string{
		"unsafe": "part",
		"stream": eventText(1),
	} {
		t.Run(route, func(t *testing.T) {
			directAndForwarded(t, func(t *testing.T, at, caller *harness) {
				service := map[string]string{"unsafe": "plain", "stream": "model"}[route]
				u := at.rawUpstream("u1", service, okHead+"\r\n"+part, true)
				runs := 0
				for range attempts {
					q := caller.request(http.MethodPost, "/"+route+"/x", upload)
					o := caller.do(q)
					if !u.hasRun(q.Header.Get("Id")) {
						continue
					}
					runs++
					assert.Assert(t, o.err != nil || o.status == http.StatusBadGateway, "%d %q", o.status, o.body)
				}
				assert.Assert(t, runs > 0)
			})
		})
	}
}

// The same where the request may be sent again: another upstream answers it.
func TestAnswerCutOffDuringAnUploadIsReplaced(t *testing.T) {
	for route, want := range map[string]string{
		"safe":   "done",
		"resume": eventText(3),
	} {
		t.Run(route, func(t *testing.T) {
			directAndForwarded(t, func(t *testing.T, at, caller *harness) {
				service, part, sound := "plain", "part", http.HandlerFunc(answerSealed)
				if route == "resume" {
					service, part, sound = "model", eventText(1), events(3, false)
				}
				u := at.rawUpstream("u1", service, okHead+"\r\n"+part, true)
				at.upstream("u2", service, sound)
				runs := 0
				for range attempts {
					q := caller.request(http.MethodPost, "/"+route+"/x", upload)
					o := caller.do(q)
					assert.NilError(t, o.err)
					assert.Equal(t, o.status, http.StatusOK)
					assert.Equal(t, o.body, want)
					if u.hasRun(q.Header.Get("Id")) {
						runs++
					}
				}
				assert.Assert(t, runs > 0)
			})
		})
	}
}

// Answers that state their length, or whose upload was read, are complete. They must reach the
// caller also if the upstream closes the connection right after them.
func TestSoundAnswersToUploads(t *testing.T) {
	for name, u := range map[string]struct {
		answer string
		early  bool
		status int
	}{
		"early, with a length":            {okHead + "Content-Length: 4\r\n\r\ndone", true, http.StatusOK},
		"early rejection with a length":   {"HTTP/1.1 413 Too Large\r\nId: ID\r\nContent-Length: 4\r\n\r\ndone", true, http.StatusRequestEntityTooLarge},
		"without a length, upload read":   {okHead + "\r\ndone", false, http.StatusOK},
		"rejection without a length":      {"HTTP/1.1 413 Too Large\r\nId: ID\r\n\r\ndone", false, http.StatusRequestEntityTooLarge},
		"HTTP/1.0, upload read":           {"HTTP/1.0 200 OK\r\nSealed: 1\r\nId: ID\r\n\r\ndone", false, http.StatusOK},
		"early, in chunks":                {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", true, http.StatusOK},
		"length beside chunks":            {okHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", false, http.StatusOK},
		"after an interim answer":         {"HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\n" + okHead + "\r\ndone", false, http.StatusOK},
		"without a reason":                {"HTTP/1.1 200\r\nSealed: 1\r\nId: ID\r\n\r\ndone", false, http.StatusOK},
		"lines that end with a line feed": {"HTTP/1.1 200 OK\nSealed: 1\nId: ID\n\ndone", false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			directAndForwarded(t, func(t *testing.T, at, caller *harness) {
				at.rawUpstream("u1", "plain", u.answer, u.early)
				for range 4 {
					o := caller.do(caller.request(http.MethodPost, "/unsafe/x", upload))
					assert.NilError(t, o.err)
					assert.Equal(t, o.status, u.status)
					assert.Equal(t, o.body, "done")
				}
			})
		})
	}
}

// malformed are answers that are none in HTTP/1.1.
var malformed = map[string]string{
	"status 000":          "HTTP/1.1 000 No\r\nSealed: 1\r\nId: ID\r\nContent-Length: 6\r\n\r\nbroken",
	"status 099":          "HTTP/1.1 099 No\r\nSealed: 1\r\nId: ID\r\nContent-Length: 6\r\n\r\nbroken",
	"status 600":          "HTTP/1.1 600 No\r\nSealed: 1\r\nId: ID\r\nContent-Length: 6\r\n\r\nbroken",
	"status +20":          "HTTP/1.1 +20 No\r\nSealed: 1\r\nId: ID\r\nContent-Length: 6\r\n\r\nbroken",
	"status after blank":  "HTTP/1.1  200 OK\r\nSealed: 1\r\nId: ID\r\nContent-Length: 6\r\n\r\nbroken",
	"blank in a name":     okHead + "X A: a\r\nContent-Length: 6\r\n\r\nbroken",
	"control byte":        okHead + "X\x01A: a\r\nContent-Length: 6\r\n\r\nbroken",
	"blank after length":  okHead + "Content-Length : 2\r\n\r\nbroken",
	"blank after chunks":  okHead + "Transfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	"blank before a name": okHead + "X-B: b\r\n Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	"interim answer":      "HTTP/1.1 103 Hints\r\nX A: a\r\n\r\n" + okHead + "Content-Length: 6\r\n\r\nbroken",
	"cut status":          "HTTP/1.1 2",
	"cut name":            "HTTP/1.1 200 OK\r\nSea",
	"cut value":           okHead + "Content-Length: 1",
	"cut end of head":     okHead + "Content-Length: 6\r\n\r",
	"chunks in HTTP/1.0":  "HTTP/1.0 200 OK\r\nSealed: 1\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
	"trailer":             okHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX A: a\r\n\r\n",
}

// An upstream in trouble sends a malformed answer. The callers of requests that may be sent again
// get another upstream's answer; others learn that the request may have run.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	for name, answer := range malformed {
		t.Run(name, func(t *testing.T) {
			directAndForwarded(t, func(t *testing.T, at, caller *harness) {
				plain := at.rawUpstream("u1", "plain", answer, false)
				model := at.rawUpstream("u2", "model", answer, false)
				ran := 0
				for range 3 {
					for _, target := range []string{"/unsafe/x", "/stream/x"} {
						q := caller.request(http.MethodPost, target, "body")
						o := caller.do(q)
						id := q.Header.Get("Id")
						if !plain.hasRun(id) && !model.hasRun(id) {
							continue
						}
						ran++
						assert.NilError(t, o.err)
						assert.Equal(t, o.status, http.StatusBadGateway, "%s %q", target, o.body)
						assert.Equal(t, o.header.Get("Heathervane-Ran"), "unknown")
					}
				}
				assert.Assert(t, ran > 0)
				at.upstream("u3", "plain", answerSealed)
				at.upstream("u4", "model", events(3, false))
				for range 3 {
					for target, want := range map[string]string{"/safe/x": "done", "/resume/x": eventText(3)} {
						o := caller.do(caller.request(http.MethodPost, target, "body"))
						assert.NilError(t, o.err)
						assert.Equal(t, o.status, http.StatusOK, "%s %q", target, o.body)
						assert.Equal(t, o.body, want)
					}
				}
			})
		})
	}
}

// A request crashes each upstream that runs it, in the middle of a line of the answer's head. It
// must be quarantined, or retries would take down one upstream after another.
func TestRequestThatCrashesUpstreamsInAHeadIsQuarantined(t *testing.T) {
	const poison, mostRuns = "poison", 3
	for _, answer := range []string{"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nSea", okHead + "Content-Length: 1", okHead + "\r"} {
		t.Run(answer, func(t *testing.T) {
			b := newHarness(t, routes())
			b.budget.remaining = 1000
			var upstreams []*rawUpstream
			for i := range 12 {
				upstreams = append(upstreams, b.rawUpstream("u"+strconv.Itoa(i), "plain", answer, false))
			}
			var runs int64
			for range 6 {
				b.do(b.request(http.MethodPost, "/safe/x", poison))
			}
			for _, u := range upstreams {
				runs += u.runs.Load()
			}
			assert.Assert(t, runs <= mostRuns, "the request was sent to %d upstreams", runs)
			o := b.do(b.request(http.MethodPost, "/safe/x", poison))
			assert.Equal(t, o.status, http.StatusServiceUnavailable)
			assert.Equal(t, o.header.Get("Heathervane-Ran"), "no")
		})
	}
}

// loseResumed ends a stream within its third event, and begins it anew where it is to go on after
// an event.
func loseResumed(w http.ResponseWriter, q *http.Request) {
	resumed := q.Header.Get("Last") != ""
	q.Header.Del("Last")
	if resumed {
		events(3, false)(w, q)
		return
	}
	events(2, true)(w, q)
}

// Engines begin a stream anew that they were to go on with. The caller must not get an event twice.
func TestResumedStreamThatBeginsAnewIsNotDelivered(t *testing.T) {
	directAndForwarded(t, func(t *testing.T, at, caller *harness) {
		for _, id := range []string{"u1", "u2", "u3"} {
			at.upstream(id, "model", loseResumed)
		}
		o := caller.do(caller.request(http.MethodPost, "/resume/x", "body"))
		assert.Assert(t, o.err != nil, "%d", o.status)
		assert.Equal(t, o.body, eventText(2))
		assert.Equal(t, len(at.requestsReceived()), 2)
	})
}

// The same where the caller resumes the stream. It gets the rest from a sound engine.
func TestStreamThatACallerResumesDoesNotBeginAnew(t *testing.T) {
	directAndForwarded(t, func(t *testing.T, at, caller *harness) {
		at.upstream("u1", "model", loseResumed)
		at.upstream("u2", "model", events(3, false))
		q := caller.request(http.MethodPost, "/resume/x", "body")
		q.Header.Set("Last", "2")
		o := caller.do(q)
		assert.NilError(t, o.err)
		assert.Equal(t, o.status, http.StatusOK, o.body)
		assert.Equal(t, o.body, "id: 3\ndata: 3\n\n")
	})
}

// An engine sends events out of order. They must not be delivered, and the answer must not look
// complete.
func TestEventsOutOfOrderAreNotDelivered(t *testing.T) {
	for _, ids := range [][]int{{1, 2, 2, 3}, {1, 2, 1, 2, 3}, {1, 2, 0}, {1, 10, 9}} {
		directAndForwarded(t, func(t *testing.T, at, caller *harness) {
			at.upstream("u1", "model", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Sealed", "1")
				for _, id := range ids {
					fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
				}
			})
			o := caller.do(caller.request(http.MethodPost, "/stream/x", "body"))
			assert.Assert(t, o.err != nil, "%d", o.status)
			assert.Equal(t, o.body, fmt.Sprintf("id: 1\ndata: 1\n\nid: %d\ndata: %d\n\n", ids[1], ids[1]))
		})
	}
}
