package generator_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/generator"
)

func TestAnswer(t *testing.T) {
	b := start(t, nil)
	prompt := strings.Repeat("ä", 101) // 202 bytes, 51 tokens
	res := b.generate("a", prompt, 5, "")
	b.pass(2 * time.Second)
	a := read(res)
	assert.Equal(t, a.text, whole(prompt, 5))
	assert.DeepEqual(t, a.ids, []string{"1", "2", "3", "4", "5"})
	assert.Equal(t, a.done, `{"tokens":5,"prompt":51,"cached":0,"reason":"length"}`)
	assert.Equal(t, res.Header.Get("Upstream-Boot"), "1000000")
}

func TestStopsByItself(t *testing.T) {
	b := start(t, func(c *generator.Config) { c.Stop = 4 })
	n := 1 + int(generator.Digest("abcd")%4)
	res := b.generate("a", "abcd", 100, "")
	b.pass(2 * time.Second)
	a := read(res)
	assert.Equal(t, a.text, whole("abcd", n))
	assert.Equal(t, a.done, fmt.Sprintf(`{"tokens":%d,"prompt":1,"cached":0,"reason":"stop"}`, n))
}

func TestRefusals(t *testing.T) {
	b := start(t, nil)
	b.generate("known", "abcd", 100, "")
	b.generate("second", "abcd", 100, "")
	tests := []struct {
		name, id, prompt string
		output           int
		fields           string
		status           int
		code             string
	}{
		{"known id", "known", "abcd", 1, "", 409, "exists"},
		{"other boot", "x", "abcd", 1, `,"expect":5`, 409, "boot"},
		{"other model", "x", "abcd", 1, `,"model":"n"`, 409, "model"},
		{"never fits", "x", "abcd", 10_000, "", 413, "memory"},
		{"no output", "x", "abcd", 0, "", 400, "body"},
		{"no prompt", "x", "", 1, "", 400, "body"},
		{"wrong handle", "x", "abcd", 1, `,"imports":[{"address":"127.0.0.1:1","handle":"p"}]`, 409, "import"},
		{"let in to the queue", "third", "abcd", 1, `,"expect":1000000`, 200, ""},
		{"full", "x", "abcd", 1, "", 429, "full"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			res := b.generate(test.id, test.prompt, test.output, test.fields)
			assert.Equal(t, res.StatusCode, test.status)
			if test.code == "" {
				return
			}
			assert.Equal(t, res.Header.Get("Ran"), "no")
			assert.Equal(t, code(t, res), test.code)
		})
	}
}

func TestPrefillOrder(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		want     int // tokens left to read after 1 s, of 400 and 50
	}{
		{"equals share evenly", 0, 350},
		{"the higher goes first", 1, 350},
		{"the lower waits", -1, 350},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, nil)
			b.generate("long", strings.Repeat("l", 1600), 10, "")
			short := b.generate("short", strings.Repeat("s", 200), 1, fmt.Sprintf(`,"priority":%d`, test.priority))
			b.pass(time.Second)
			assert.Equal(t, get[load](b, "/v1/load").Left, test.want)
			// 50 tokens take 0.5 s alone and 1 s when shared; the one token
			// of the answer takes 0.2 s beside the long prompt.
			b.pass(300 * time.Millisecond)
			early := test.priority >= 0
			held := len(get[streams](b, "/v1/streams").Streams) == 2
			if early {
				assert.Equal(t, read(short).text, whole(strings.Repeat("s", 200), 1))
			} else {
				assert.Assert(t, held)
			}
		})
	}
}

func TestCache(t *testing.T) {
	b := start(t, func(c *generator.Config) {
		c.Prefill, c.Lag, c.Gap, c.Slots, c.Queue, c.Memory = 100_000, 500*time.Millisecond, 3, 1, 9, 6000
	})
	long := strings.Repeat("h", 8192)
	tests := []struct {
		id, prompt string
		cached     int
	}{
		{"a", long + "one", 0},
		{"b", long + "two", 2048},
		{"c", long[:4096] + strings.Repeat("z", 4096), 1024},
		{"d", strings.Repeat("e", 20_000), 0}, // drops the head of the others
		{"e", long, 0},
	}
	for _, test := range tests {
		res := b.generate(test.id, test.prompt, 1, "")
		b.pass(300 * time.Millisecond)
		assert.Assert(t, strings.Contains(read(res).done, fmt.Sprintf(`"cached":%d,`, test.cached)), test.id)
	}
	type events struct {
		Next   uint64
		Events []struct {
			Seq        uint64
			Kind, Head string
		}
	}
	assert.Equal(t, len(get[events](b, "/v1/events?from=0").Events), 3, "the last is not yet to be seen")
	b.pass(time.Second)
	all := get[events](b, "/v1/events?from=0").Events
	kinds := ""
	for _, e := range all {
		kinds += fmt.Sprintf("%d%s ", e.Seq, e.Kind)
	}
	// The third is lost: that is the gap.
	assert.Equal(t, kinds, "1add 2drop 4drop 5add ")
	assert.Equal(t, get[events](b, "/v1/events?from=5").Next, uint64(6))
}

// A reader goes away in the middle, as a killed VM does. Nobody may find that
// the engine's memory is lost for good: another finds the stream and resumes or
// cancels it.
func TestResumeAndCancel(t *testing.T) {
	b := start(t, nil)
	b.generate("a", "abcd", 20, "").Body.Close()
	b.generate("b", "abcd", 20, "").Body.Close()
	b.alone()
	b.pass(5 * time.Second)
	l := get[streams](b, "/v1/streams")
	assert.Equal(t, len(l.Streams), 2)
	assert.Equal(t, l.Streams[0].Memory, 21)
	assert.Equal(t, l.Streams[0].VM, "v1")

	a := read(b.call(http.MethodGet, "/v1/streams/a?from=18", ""))
	assert.DeepEqual(t, a.ids, []string{"19", "20"})
	assert.Assert(t, a.done != "")
	for i, want := range []int{200, 404, 404} {
		path := "/v1/streams/b"
		if i == 2 {
			path = "/v1/streams/never"
		}
		assert.Equal(t, b.call(http.MethodDelete, path, "").StatusCode, want)
	}
	assert.Equal(t, b.call(http.MethodGet, "/v1/streams/b?from=0", "").StatusCode, 404)
	assert.Equal(t, code(t, b.generate("b", "abcd", 1, "")), "exists")
	assert.Equal(t, len(get[streams](b, "/v1/streams").Streams), 0)
	b.pass(20 * time.Millisecond)
	assert.Equal(t, get[load](b, "/v1/load").Used, 0)
	b.pass(70 * time.Second)
	assert.Equal(t, b.generate("b", "abcd", 1, "").StatusCode, 200)
}

func TestCancelWhileWaiting(t *testing.T) {
	b := start(t, func(c *generator.Config) { c.Slots = 1 })
	b.generate("runs", "abcd", 100, "")
	b.pass(20 * time.Millisecond)
	waits := b.generate("waits", "abcd", 100, "")
	assert.Equal(t, b.call(http.MethodDelete, "/v1/streams/waits", "").StatusCode, 200)
	assert.Equal(t, read(waits).done, "")
	b.pass(20 * time.Millisecond)
	assert.Equal(t, get[load](b, "/v1/load").Used, 101)
	assert.Equal(t, get[load](b, "/v1/load").Waiting, 0)
}

// An engine that is cold gets more than it bears. It falls over: callers see
// their streams cut, and it comes back with nothing in it.
func TestFallsOver(t *testing.T) {
	b := start(t, func(c *generator.Config) { c.Started = false; c.Slots = 4; c.Cold = 2 })
	first := b.generate("a", "abcd", 100, "")
	b.generate("b", "abcd", 100, "")
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.server.URL+"/v1/generate",
		strings.NewReader(`{"id":"c","vm":"v","prompt":"abcd","output":1}`))
	assert.NilError(t, err)
	res, err := b.server.Client().Do(req)
	if err == nil {
		res.Body.Close()
	}
	assert.Assert(t, err != nil, "the request that made it fall has no answer")
	assert.Equal(t, read(first).done, "")
	down := b.generate("d", "abcd", 1, "")
	assert.Equal(t, down.StatusCode, 503)
	assert.Equal(t, down.Header.Get("Ran"), "no")
	b.pass(1010 * time.Millisecond)
	l := get[load](b, "/v1/load")
	assert.Assert(t, l.Cold && l.Used == 0 && l.Boot > 1_000_000)
	p := get[peak](b, "/v1/peak")
	assert.Equal(t, p.Falls, 1)
	assert.Equal(t, p.Peaks["1000000"], 3)
	for i := range 2 { // warm after two
		res := b.generate(fmt.Sprint(i), "abcd", 1, "")
		b.pass(200 * time.Millisecond)
		assert.Assert(t, read(res).done != "")
	}
	b.pass(20 * time.Millisecond)
	assert.Assert(t, !get[load](b, "/v1/load").Cold)
}

func TestParts(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	type part struct {
		Handle string
		Tokens int
	}
	answered := make(chan part)
	go func() {
		answered <- readPart(a, `{"id":"p","vm":"v1","boot":7,"prompt":"abcdefgh"}`)
	}()
	var p part
	for p.Handle == "" {
		select {
		case p = <-answered:
		default:
			a.pass(10 * time.Millisecond)
		}
	}
	assert.Equal(t, p.Tokens, 2)
	assert.Equal(t, p.Handle, fmt.Sprintf("p:%016x", generator.Digest("abcdefgh")))
	assert.Equal(t, get[streams](a, "/v1/streams").Streams[0].Kind, "part")

	imports := fmt.Sprintf(`,"imports":[{"address":%q,"handle":%q}]`, strings.TrimPrefix(a.server.URL, "http://"), p.Handle)
	res := b.generate("g", "rest", 1, imports)
	b.pass(time.Second)
	digest := generator.Digest("rest", fmt.Sprintf("%016x", generator.Digest("abcdefgh")))
	assert.Equal(t, read(res).text, generator.Text(digest, 1))

	assert.Equal(t, a.call(http.MethodDelete, "/v1/streams/p", "").StatusCode, 200)
	assert.Equal(t, code(t, b.generate("h", "rest", 1, imports)), "import")
}

// readPart reads a part and returns its answer.
func readPart(b *bench, body string) (p struct {
	Handle string
	Tokens int
},
) {
	decodeInto(b.call(http.MethodPost, "/v1/parts", body), &p)
	return p
}
