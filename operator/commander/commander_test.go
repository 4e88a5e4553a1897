package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/operator/commander"
)

const example = "../../examples/manifest.toml"

// TestMain lets the test binary act as vanectl, because the flag library exits the
// process itself.
func TestMain(m *testing.M) {
	if os.Getenv("VANECTL_RUN") != "" {
		os.Exit(int(commander.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
	}
	os.Exit(m.Run())
}

func run(t *testing.T, l *fakeLog, args ...string) (commander.Code, string) {
	t.Helper()
	t.Setenv("VANECTL_LOG", "")
	if l != nil {
		t.Setenv("VANECTL_LOG", l.URL)
	}
	var out bytes.Buffer
	code := commander.Run(context.Background(), args, &out, &out)
	return code, out.String()
}

// publishedLog returns a log on which the example manifest has been published.
func publishedLog(t *testing.T) *fakeLog {
	l := newLog(t)
	code, out := run(t, l, "publish", example, "--who", "kim", "--why", "first")
	assert.Equal(t, code, commander.ExitOK, out)
	return l
}

func TestCommands(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(bad, []byte("seets = 3\nwindow = '1s'"), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code commander.Code
		want string
	}{
		{"check", []string{"check", example}, commander.ExitOK, "no findings; models 1, services 1, upstreams 5, teams 2"},
		{"check with findings", []string{"check", bad}, commander.ExitRefused, "seets: unknown key (did you mean seats?)\nwindow: is 1s"},
		{"check in JSON", []string{"check", "--json", bad}, commander.ExitRefused, `"findings":[{"place":"seets"`},
		{"check of a missing file", []string{"check", "no-such-file"}, commander.ExitUsage, "no such file"},
		{"publish findings", []string{"publish", bad}, commander.ExitRefused, "did you mean seats?"},
		{"publish next", []string{"publish", example, "--base", "1"}, commander.ExitOK, "accepted at offset 2"},
		{"publish on the one in force", []string{"publish", example, "--json"}, commander.ExitOK, `{"outcome":"accepted","offset":2`},
		{"publish stale", []string{"publish", example, "--base=0"}, commander.ExitRefused, "refused at offset 2: it builds on version 0, and version 1 is in force"},
		{"publish bad base", []string{"publish", example, "--base", "x"}, commander.ExitUsage, `--base "x" is not a version`},
		{"publish anew", []string{"publish", example, "--anew"}, commander.ExitOK, "accepted at offset 2"},
		{"publish without an author", []string{"publish", example, "--who", ""}, commander.ExitUsage, "--who needs 1 to 64 bytes"},
		{"zone out", []string{"zone", "out", "a", "--why", "power"}, commander.ExitOK, "accepted at offset 2"},
		{"zone in", []string{"zone", "in", "a"}, commander.ExitOK, "accepted at offset 2"},
		{"zone unknown", []string{"zone", "out", "d"}, commander.ExitRefused, "is not in the manifest in force"},
		{"upstream unknown", []string{"upstream", "out", "runner-9"}, commander.ExitRefused, "did you mean runner-"},
		{"upstream out", []string{"upstream", "out", "runner-1"}, commander.ExitOK, "accepted"},
		{"vm out", []string{"vm", "out", "entry-1"}, commander.ExitOK, "accepted"},
		{"vm with a bad name", []string{"vm", "out", "Entry 1"}, commander.ExitUsage, "is not 1 to 40"},
		{"status", []string{"status"}, commander.ExitOK, "version 1 in force"},
		{"audit", []string{"audit"}, commander.ExitOK, "1  1970-01-01T00:00:01Z  kim  publish on 0  accepted"},
		{"audit with a reason", []string{"audit"}, commander.ExitOK, "(first)"},
		{"audit in JSON", []string{"audit", "--json"}, commander.ExitOK, `{"changes":[{"offset":1,"at":1000,"who":"kim"`},
		{"wrong command", []string{"pubish", example}, commander.ExitUsage, "unknown command (did you mean publish?)"},
		{"wrong direction", []string{"zone", "ot", "a"}, commander.ExitUsage, "must be out or in (did you mean out?)"},
		{"wrong flag", []string{"status", "--jsn"}, commander.ExitUsage, "unknown flag (did you mean --json?)"},
		{"no direction", []string{"zone"}, commander.ExitUsage, "zone out|in NAME"},
		{"no command", nil, commander.ExitUsage, "exit codes: 0 accepted"},
		{"invalid log URL", []string{"status", "--log", "10.0.0.1"}, commander.ExitUsage, "is not a URL"},
		{"log not reachable", []string{"status", "--log", "http://127.0.0.1:1"}, commander.ExitUnreachable, "connection refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out := run(t, publishedLog(t), c.args...)
			assert.Equal(t, code, c.code, out)
			assert.Assert(t, strings.Contains(out, c.want), out)
		})
	}
	code, out := run(t, nil, "status")
	assert.Equal(t, code, commander.ExitUsage, out)
}

// The log fails while a change is being submitted. Reporting a change as refused
// when it took effect, or as accepted when it did not, would make the operator
// continue from a state that the fleet is not in.
func TestChangesUnderFaults(t *testing.T) {
	concurrent := wrap(t, recorder.KindPublish, recorder.Publish{Base: 1, Manifest: []byte("zones = ['a']"), Who: "lee", ID: "rival"})
	for _, c := range []struct {
		name   string
		faults faults
		code   commander.Code
		want   string
		stored int
	}{
		{"response is lost", faults{loseResponse: true}, commander.ExitOK, "accepted at offset 2", 2},
		{"response is lost after a concurrent change", faults{loseResponse: true, concurrent: concurrent}, commander.ExitRefused, "refused at offset 3: it builds on version 1, and version 2", 3},
		{"concurrent change is stored first", faults{concurrent: concurrent}, commander.ExitRefused, "refused at offset 3", 3},
		{"stored twice", faults{duplicate: true}, commander.ExitOK, "accepted at offset 2", 3},
		{"stored twice, response is lost", faults{duplicate: true, loseResponse: true}, commander.ExitOK, "accepted at offset 2", 3},
		{"only a checkpoint is retained", faults{checkpoint: true}, commander.ExitOK, "accepted at offset 2", 3},
		{"only a checkpoint is retained, response is lost", faults{checkpoint: true, loseResponse: true}, commander.ExitOK, "accepted at offset 2", 3},
		{"only a checkpoint is retained, after a concurrent change", faults{checkpoint: true, loseResponse: true, concurrent: concurrent}, commander.ExitRefused, "refused at offset 3: it builds on version 1", 4},
		{"request is lost", faults{loseRequest: true}, commander.ExitUnknown, "unknown: it was not found on the stream and may still be stored", 1},
		{"log is unavailable after the append", faults{downAfterAppend: true}, commander.ExitUnknown, "unknown at offset 2: it was stored", 2},
		{"response is lost, log is unavailable after the append", faults{downAfterAppend: true, loseResponse: true}, commander.ExitUnknown, "may still be stored", 2},
		{"log is rate limited once", faults{rateLimit: 1}, commander.ExitOK, "accepted at offset 2", 2},
		{"log is rate limited", faults{rateLimit: 1000}, commander.ExitUnreachable, "429", 1},
		{"log is unavailable", faults{down: true}, commander.ExitUnreachable, "503", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := publishedLog(t)
			l.faults = c.faults
			code, out := run(t, l, "publish", example, "--base", "1", "--limit", "700ms")
			assert.Equal(t, code, c.code, out)
			assert.Assert(t, strings.Contains(out, c.want), out)
			assert.Equal(t, len(l.records), c.stored)
		})
	}
}

// All records with the configuration have expired. Nothing can build on it, and an
// order must not be reported as accepted.
func TestLostConfiguration(t *testing.T) {
	l := publishedLog(t)
	code, out := run(t, l, "zone", "out", "a")
	assert.Equal(t, code, commander.ExitOK, out)
	l.start = 2
	for _, args := range [][]string{{"publish", example}, {"zone", "out", "b"}, {"status"}, {"audit"}} {
		code, out := run(t, l, args...)
		assert.Equal(t, code, commander.ExitRefused, out)
		assert.Assert(t, strings.Contains(out, "has neither the first record nor a checkpoint"), out)
	}
	code, out = run(t, l, "publish", example, "--anew")
	assert.Equal(t, code, commander.ExitOK, out)
	code, out = run(t, l, "status")
	assert.Equal(t, code, commander.ExitOK, out)
	assert.Assert(t, strings.Contains(out, "version 3 in force"), out)
}

func TestStatusOfVMs(t *testing.T) {
	l := publishedLog(t)
	serve := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	good := serve(200, `{"id":"entry-1","version":1,"ready":true}`)
	for _, c := range []struct {
		address string
		code    commander.Code
		want    string
	}{
		{good, commander.ExitOK, "entry-1: version 1, ready true\n"},
		{serve(200, `{"id":"entry-2","version":0,"ready":true}`), commander.ExitRefused, "version 1 is in force"},
		{serve(503, `{"id":"entry-3","version":1,"ready":false,"reason":"leaving"}`), commander.ExitRefused, "ready false, leaving"},
		{serve(404, `not found`), commander.ExitRefused, "404 Not Found is not a valid status response"},
		{"http://127.0.0.1:1", commander.ExitRefused, "not reached"},
	} {
		code, out := run(t, l, "status", "--vm", good, "--vm", c.address)
		assert.Equal(t, code, c.code, out)
		assert.Assert(t, strings.Contains(out, c.want), out)
	}
	l.faults.down = true
	code, out := run(t, l, "status", "--vm", good, "--json")
	assert.Equal(t, code, commander.ExitUnreachable, out)
	var answer struct {
		Log string
		VMs []struct{ ID string }
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &answer))
	assert.Equal(t, answer.VMs[0].ID, "entry-1")
	assert.Assert(t, strings.Contains(answer.Log, "503"))
}

func TestUnknownVMNameWarning(t *testing.T) {
	l := publishedLog(t)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"vms":[{"id":"entry-1","zone":"a","address":"10.0.0.1:1","state":"live"}]}`))
	}))
	defer list.Close()
	for _, c := range []struct {
		list, name, want string
		warned           bool
	}{
		{list.URL, "entry-1", "", false},
		{list.URL, "entri-1", "is not on the platform's list (did you mean entry-1?)", true},
		{l.URL, "entri-1", "the name could not be checked", true},
	} {
		code, out := run(t, l, "vm", "out", c.name, "--list", c.list)
		assert.Equal(t, code, commander.ExitOK, out)
		assert.Assert(t, strings.Contains(out, c.want), out)
		assert.Equal(t, strings.Contains(out, "vanectl:"), c.warned, out)
	}
}

func TestHelp(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, 0, "publish"},
		{[]string{"check", "--help"}, 0, "report problems in a manifest"},
		{[]string{"publish", "--help"}, 0, "--anew"},
		{[]string{"vm", "--help"}, 0, "out"},
		{[]string{"vm", "out", "--help"}, 0, "--why"},
		{[]string{"zone", "in", "--help"}, 0, "work is sent there again, step by step"},
		{[]string{"upstream", "out", "--help"}, 0, "name of the upstream"},
		{[]string{"status", "--help"}, 0, "--vm"},
		{[]string{"audit", "--help"}, 0, "exit codes: 0 accepted"},
		{[]string{"publish"}, 2, "FILE"},
		{[]string{"zone", "out"}, 2, "NAME"},
		{[]string{"check", "a", "b"}, 2, "b"},
		{[]string{"status", "--limit", "soon"}, 2, "soon"},
		{[]string{"status", "--log"}, 2, "log"},
	} {
		self, err := os.Executable()
		assert.NilError(t, err)
		cmd := exec.CommandContext(t.Context(), self, c.args...)
		cmd.Env = append(os.Environ(), "VANECTL_RUN=1")
		out, err := cmd.CombinedOutput()
		assert.Equal(t, cmd.ProcessState.ExitCode(), c.code, "%v: %v %s", c.args, err, out)
		assert.Assert(t, strings.Contains(string(out), c.want), "%v: %s", c.args, out)
	}
}
