package checker_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/finder"
)

func example(t testing.TB) string {
	data, err := os.ReadFile("../../examples/manifest.toml")
	assert.NilError(t, err)
	return string(data)
}

func TestExampleManifestIsValid(t *testing.T) {
	m, found := checker.Parse([]byte(example(t)))
	assert.NilError(t, found.Err())
	assert.Equal(t, m.Teams["busan"].Share, 1)
	assert.Equal(t, m.Upstreams["runner-1"].Fencing, true)
	assert.Equal(t, time.Duration(m.Classes["long"].Limit), 5*time.Minute)
}

func TestDefaults(t *testing.T) {
	m, found := checker.Parse([]byte("[models.m]\ncontext = 100\n[services.s]\n[teams.t]\n" +
		"[upstreams.u]\nservice = 's'\naddress = '10.0.0.1:80'\nzone = 'a'\nslots = 4"))
	assert.NilError(t, found.Err())
	assert.Equal(t, m.Seats, 9)
	assert.Equal(t, len(m.Classes), 3)
	assert.Equal(t, m.Models["m"].Output, 100)
	assert.DeepEqual(t, m.Services["s"].Repeatable, []string{"GET", "HEAD", "OPTIONS"})
	assert.Equal(t, m.Upstreams["u"].Cold, 1)
	assert.Equal(t, m.Teams["t"].Share, 1)
}

// Operators correct a manifest by its findings, so each mistake must be
// reported at its location, and a misspelt word with a suggestion.
func TestFindings(t *testing.T) {
	hash := "sha256:" + strings.Repeat("0", 64)
	for _, c := range []struct{ old, new, want string }{
		{"seats = 9", "seats = 0", "seats: is 0, not between 1 and 10000"},
		{"seats = 9", "seats = 9\nloads = -1", "loads: is -1, not between 0 and 10000"},
		{"seats = 9", "seats = '9'", "seats: is a string, not an integer in range"},
		{"seats = 9", "seets = 9", "seets: unknown key (did you mean seats?)"},
		{"seats = 9", "seats = ", "line 3: "},
		{"seats = 9", "Seats = 9", "Seats: unknown key (did you mean seats?)"},
		{`window = "10m"`, `window = "59s"`, "window: is 59s, not between 1m0s and 720h0m0s"},
		{`window = "10m"`, `window = 10`, "window: is an integer, not a string with a unit"},
		{`window = "10m"`, `window = "10 minutes"`, "window: time: unknown unit"},
		{`keep = "1h"`, `keep = "10m"`, "keep: is 10m0s, not longer than window"},
		{`keep = "1h"`, `keep = "59m"`, "keep: is 59m0s, shorter than 1h0m0s"},
		{`zones = ["a", "b", "c"]`, `zones = ["a", "b", "b"]`, `zones[2]: names the zone "b" twice`},
		{`zones = ["a", "b", "c"]`, `zones = ["a", "b"]`, `upstreams.runner-3.zone: names the zone "c"`},
		{"[classes.short]", "[classes.Short]", "classes.Short: the name"},
		{"prompt = 8000", "prompt = 100000", "classes.short.prompt: is 100000, the same as that of class long"},
		{`limit = "5m"`, `limit = "30s"`, "classes.long.limit: is 30s, less than the 1m0s"},
		{`most = "2m"`, `most = "30s"`, "classes.short.limit: is 1m0s, not between"},
		{`least = "1s"`, `least = "0s"`, "classes.short.least: is 0s, not above 0s"},
		{"output = 4096", "output = 3000000", "models.assistant.output: is 3000000"},
		{"bytes = 4", "bytes = 0", "models.assistant.bytes: is 0"},
		{`version = "1"`, "version = '1'\nload = '-1s'", "models.assistant.load: is -1s, not between 0s and 10m0s"},
		{`version = "1"`, `version = "1 2"`, "models.assistant.version: "},
		{`keys = "dated"`, `keys = "date"`, "services.booking.keys: is \"date\", not \"dated\" or \"any\" (did you mean dated?)"},
		{`"POST /search"`, `"POTS /search"`, "services.booking.repeatable[3]: the method \"POTS\""},
		{`"POST /search"`, `"POST search"`, "services.booking.repeatable[3]: \"search\" is not a path"},
		{`model = "assistant"`, `model = "asistant"`, "upstreams.runner-1.model: names the model \"asistant\", which the manifest does not have (did you mean assistant?)"},
		{`model = "assistant"`, `model = "assistant"` + "\nservice = 'booking'", "upstreams.runner-1: must have either a model or a service"},
		{`service = "booking"`, `service = "rota"`, "upstreams.booking-1.service: names the service \"rota\""},
		{`service = "booking"`, "service = 'booking'\nmemory = 5", "upstreams.booking-1.memory: is 5"},
		{"127.0.0.1:9002", "127.0.0.1:9001", "upstreams.runner-2.address: 127.0.0.1:9001 is also the address of upstream runner-1"},
		{"127.0.0.1:9002", "[::ffff:127.0.0.1]:9001", "is also the address of upstream runner-1"},
		{"127.0.0.1:9002", "runner.example:9002", "upstreams.runner-2.address: \"runner.example:9002\" is not an IP number and a port"},
		{"127.0.0.1:9002", "127.0.0.1:0", "is not an IP number and a port"},
		{"slots = 16", "slots = 0", "upstreams.runner-1.slots: is 0"},
		{"cold = 2", "cold = 17", "upstreams.runner-1.cold: is 17, not between 1 and 16"},
		{"cold = 2", "cold = 0", "upstreams.runner-1.cold: is 0"},
		{"memory = 400000", "memory = 0", "upstreams.runner-1.memory: is 0"},
		{"memory = 400000", "memory = 99999999999999999999", "line "},
		{"fencing = true", "fencing = 1", "upstreams.runner-1.fencing: is an integer, not a boolean"},
		{"share = 3", "share = 0", "teams.seoul.share: is 0"},
		{"share = 3", "share = 3\nshare = 4", "line "},
		{"tokens = [", "tokens = ['seoul-token', ", "teams.seoul.tokens[0]: is not \"sha256:\" and 64 hex digits"},
		{"tokens = [", "tokens = ['" + hash + "', '" + hash + "', ", "teams.seoul.tokens[1]: is also a token of team seoul"},
		{"[teams.seoul]", "[teams]\nseoul = 5\n[teams.other]", "teams.seoul: is an integer, not a table"},
		{"seats = 9", "upstream.x.zone = 'a'", "upstream: unknown key (did you mean upstreams?)"},
		{"seats = 9", `"a.b" = 1`, `"a.b": unknown key`},
	} {
		text := example(t)
		assert.Assert(t, strings.Contains(text, c.old), c.old)
		_, found := checker.Parse([]byte(strings.Replace(text, c.old, c.new, 1)))
		assert.ErrorContains(t, found.Err(), c.want)
		assert.Assert(t, !strings.Contains(found.Err().Error(), "seoul-token"), "a token is repeated")
	}
}

func TestFindingsComeTogether(t *testing.T) {
	_, found := checker.Parse([]byte("seats = 'x'\nwindow = '1s'\nfoo = 1\n[teams.A]\nshare = 0"))
	assert.Equal(t, len(found), 5, "%v", found)
}

// Without limits, a record of a few bytes with deep nesting, or a very long
// one, would take every VM minutes to refuse, during which it follows no
// configuration.
func TestHostileManifestsAreRefusedAtOnce(t *testing.T) {
	for name, text := range map[string]string{
		"arrays":       "a = " + strings.Repeat("[", 1<<19),
		"tables":       "a = " + strings.Repeat("{a=", 1<<18),
		"keys":         strings.Repeat("a.", 1<<18) + "a = 1",
		"header":       "[" + strings.Repeat("a.", 1<<18) + "a]",
		"after string": `a = ["""x"""", ` + strings.Repeat("[", 1<<19),
		"after quote":  `a = ["\"", '\', ` + strings.Repeat("[", 1<<19),
		"after lines":  "a = [\"\"\"\n\\\"\"\"\"\"\", '''''', # \"\n" + strings.Repeat("[", 1<<19),
		"findings":     "[teams.a]\ntokens = [" + strings.Repeat("'x',", 1<<17) + "]",
		"long":         strings.Repeat("#", checker.MaxBytes+1),
	} {
		_, found := checker.Parse([]byte(text))
		assert.Assert(t, len(found) > 0, name)
		assert.Assert(t, len(found) <= finder.MaxFindings, name)
		assert.Assert(t, len(found.Err().Error()) < 10_000, name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte("seats = 'x'\n[upstreams.\"\"]\n"))
	f.Add([]byte("zones = [1, 'a']\nteams = 5\n[[models]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, found := checker.Parse(data)
		again, foundAgain := checker.Parse(data)
		assert.DeepEqual(t, first, again)
		assert.DeepEqual(t, found, foundAgain)
	})
}
