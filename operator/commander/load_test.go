package commander_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/describer"
	"github.com/heathervane/heathervane/operator/commander"
)

func TestLoadShowsWhatWaitsByPriorityAndTeam(t *testing.T) {
	serve := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != describer.Path {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			w.WriteHeader(status)
			w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	good := serve(200, `{"vm":"a-1","groups":[{"service":"s","zone":"a","leads":true,"upstreams":3,"free":2,
		"waiting":[{"priority":2,"team":"t","kind":"long","count":4,"oldest":700}],"details":{"claims":3}}],
		"refusals":{"late":5},"memory":{"bodies":1024}}`)
	code, out := run(t, nil, "load", "--vm", good)
	assert.Equal(t, code, commander.ExitOK, out)
	for _, want := range []string{
		"s in zone a: 3 upstreams, 2 slots free\n", "waiting: priority 2, long, team t: 4, oldest 700 ms", "claims: 3",
		"refused, late: 5", "bytes held, bodies: 1024",
	} {
		assert.Assert(t, strings.Contains(out, want), "%s missing in:\n%s", want, out)
	}
	for _, c := range []struct{ address, want string }{
		{serve(404, "no"), "not a valid description"}, {serve(200, "{}"), "not a valid description"}, {"http://127.0.0.1:1", "not reached"},
	} {
		code, out := run(t, nil, "load", "--vm", good, "--vm", c.address)
		assert.Equal(t, code, commander.ExitRefused, out)
		assert.Assert(t, strings.Contains(out, c.want), out)
	}
	code, out = run(t, nil, "load")
	assert.Equal(t, code, commander.ExitUsage, out)
}
