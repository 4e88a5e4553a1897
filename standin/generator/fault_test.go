package generator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/generator"
)

func decodeInto(res reply, v any) {
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		panic(err)
	}
}

func TestStreamFaults(t *testing.T) {
	tests := []struct {
		faults, ids string
		done        bool
	}{
		{`{}`, "1 2 3 4", true},
		{`{"cut":2}`, "1 2", false},
		{`{"double":2}`, "1 1 2 2 3 4", true},
		{`{"reorder":1}`, "2 1 3 4", true},
		{`{"reorder":9}`, "2 1 4 3", true},
	}
	for _, test := range tests {
		t.Run(test.faults, func(t *testing.T) {
			b := start(t, nil)
			assert.Equal(t, b.call(http.MethodPut, "/faults", test.faults).StatusCode, 200)
			res := b.generate("a", "abcd", 4, "")
			b.pass(time.Second)
			a := read(res)
			assert.Equal(t, strings.Join(a.ids, " "), test.ids)
			assert.Equal(t, a.done != "", test.done)
		})
	}
}

func TestLosesAnswerAfterEffect(t *testing.T) {
	b := start(t, nil)
	b.call(http.MethodPut, "/faults", `{"lose":1}`)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/v1/generate",
		strings.NewReader(`{"id":"a","vm":"v","prompt":"abcd","output":1}`))
	assert.NilError(t, err)
	res, err := b.server.Client().Do(req)
	if err == nil {
		res.Body.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, len(get[streams](b, "/v1/streams").Streams), 1)
}

func TestColdFault(t *testing.T) {
	b := start(t, nil)
	res := b.generate("a", "abcd", 100, "")
	b.call(http.MethodPut, "/faults", `{"cold":true}`)
	assert.Equal(t, read(res).done, "")
	l := get[streams](b, "/v1/streams")
	assert.Assert(t, l.Boot > 1_000_000 && len(l.Streams) == 0)
}

// A frozen engine that wakes must not do the work of the pause in one burst.
func TestFreeze(t *testing.T) {
	b := start(t, nil)
	b.generate("a", strings.Repeat("x", 4000), 100, "")
	b.pass(time.Second)
	b.call(http.MethodPut, "/faults", `{"freeze":true}`)
	b.pass(5 * time.Second)
	b.call(http.MethodPut, "/faults", `{}`)
	b.pass(10 * time.Millisecond)
	assert.Equal(t, get[load](b, "/v1/load").Left, 1000-100-1)
}

func TestSlower(t *testing.T) {
	b := start(t, nil)
	b.call(http.MethodPut, "/faults", `{"slower":10}`)
	b.generate("a", strings.Repeat("x", 4000), 100, "")
	b.pass(time.Second)
	assert.Equal(t, get[load](b, "/v1/load").Left, 1000-10)
}

func TestLoadLags(t *testing.T) {
	b := start(t, func(c *generator.Config) { c.Lag = 500 * time.Millisecond })
	b.generate("a", "abcd", 100, "")
	b.pass(400 * time.Millisecond)
	assert.Equal(t, get[load](b, "/v1/load").Running, 0)
	b.pass(200 * time.Millisecond)
	assert.Equal(t, get[load](b, "/v1/load").Running, 1)
}

func TestOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			b := start(t, func(c *generator.Config) { c.Fencing = fencing; c.Load = time.Second })
			assert.Equal(t, b.call(http.MethodPost, "/v1/orders", `{"fence":5,"kind":"load","model":"n","version":"2"}`).StatusCode, 202)
			old := b.call(http.MethodPost, "/v1/orders", `{"fence":4,"kind":"role","role":"long"}`)
			b.pass(900 * time.Millisecond)
			assert.Equal(t, get[load](b, "/v1/load").Model, "m")
			b.pass(200 * time.Millisecond)
			l := get[load](b, "/v1/load")
			assert.Equal(t, l.Model+l.Version, "n2")
			if fencing {
				assert.Equal(t, old.StatusCode, 409)
				assert.Equal(t, code(t, old), "fence")
				assert.Equal(t, l.Role, "")
			} else {
				assert.Equal(t, old.StatusCode, 202)
				assert.Equal(t, l.Role, "long")
			}
			assert.Equal(t, b.call(http.MethodPost, "/v1/orders", `{"fence":6,"kind":"sing"}`).StatusCode, 400)
		})
	}
}
