package setter_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/setter"
	"github.com/heathervane/heathervane/library/finder"
)

const examplePath = "../../../examples/entry.toml"

func example(t testing.TB) string {
	data, err := os.ReadFile(examplePath)
	assert.NilError(t, err)
	return string(data)
}

func TestExampleSettingsAreValid(t *testing.T) {
	s, err := setter.Read(examplePath)
	assert.NilError(t, err)
	assert.Equal(t, s.ID, "entry-1")
	assert.Equal(t, s.Limits.Bodies, setter.ByteSize(64<<20))
	assert.Equal(t, time.Duration(s.Limits.Drain), 2*time.Hour)
	assert.Equal(t, s.Policy.Router, setter.RouterBest)
}

func TestFindings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`id = "entry-1"`, ``, `id: "" is not 1 to 40`},
		{`id = "entry-1"`, `idd = "entry-1"`, "idd: unknown key (did you mean id?)"},
		{`zone = "a"`, `zone = "A"`, `zone: "A" is not`},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, "callers.address: "},
		{`"127.0.0.1:8081"`, `"127.0.0.1:8080"`, "peers.address: is the same as callers.address"},
		{`# certificate = "callers.pem"`, `certificate = "x.pem"`, "callers: must have both"},
		{`# authority =`, `authority = "a.pem" #`, "peers.authority: needs a certificate"},
		{`"replace-this-by-32-random-bytes-in-hex"`, `"hush-hush"`, "peers.secret: has 9 bytes"},
		{`"http://127.0.0.1:7000"`, `"127.0.0.1:7000"`, "platform.log: "},
		{`"http://127.0.0.1:7001"`, `"http://a:b@127.0.0.1"`, "platform.list: "},
		{`"64MiB"`, `"64MB"`, `limits.bodies: "64MB" is not a size`},
		{`"64MiB"`, `"1MiB"`, "limits.body: is 16MiB, more than limits.bodies (1MiB)"},
		{`"64MiB"`, `"9999999999GiB"`, "limits.bodies: "},
		{`"16KiB"`, `"10B"`, "limits.header: is 10B, not between 1KiB and 1MiB"},
		{"streams = 10000", "streams = 0", "limits.streams: is 0"},
		{`drain = "2h"`, `drain = "-1s"`, "limits.drain: is -1s"},
		{`"best"`, `"bets"`, `policy.router: is "bets", none of best, random, least, two (did you mean best?)`},
		{`"fair"`, `"fifo"`, `policy.queue: is "fifo", none of fair, first`},
	} {
		text := example(t)
		assert.Assert(t, strings.Contains(text, c.old), c.old)
		_, findings := setter.Parse([]byte(strings.Replace(text, c.old, c.new, 1)))
		assert.ErrorContains(t, findings.Err(), c.want)
		assert.Assert(t, !strings.Contains(findings.Err().Error(), "hush-hush"), "the error contains the secret")
	}
}

func TestReadReportsFilesWithTheRest(t *testing.T) {
	text := strings.Replace(example(t), "[peers]", "certificate = 'c.pem'\nkey = 'k.pem'\n[peers]", 1)
	text = strings.Replace(text, "streams = 10000", "streams = 0", 1)
	file := filepath.Join(t.TempDir(), "entry.toml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	_, err := setter.Read(file)
	var found *finder.Error
	assert.Assert(t, errors.As(err, &found))
	places := make([]string, 0, len(found.Findings))
	for _, f := range found.Findings {
		places = append(places, f.Place)
	}
	assert.DeepEqual(t, places, []string{"limits.streams", "callers.certificate", "callers.key"})
}

func TestSizeRoundTrip(t *testing.T) {
	for _, text := range []string{"0B", "1B", "1023B", "1KiB", "64MiB", "3GiB"} {
		var s setter.ByteSize
		assert.NilError(t, s.UnmarshalText([]byte(text)))
		assert.Equal(t, s.String(), text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte("limits = 5\n[peers]\nsecret = 1979-05-27\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, findings := setter.Parse(data)
		again, findingsAgain := setter.Parse(data)
		assert.DeepEqual(t, s, again)
		assert.DeepEqual(t, findings, findingsAgain)
	})
}
