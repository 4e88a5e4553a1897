package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limit bounds the whole of a test, far above what it takes.
const limit = time.Minute

// build makes the program once for a test.
func build(ctx context.Context, t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin")
	out, err := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return path
}

func TestProgram(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	path := build(ctx, t)
	tests := []struct{ role, get string }{
		{"engine", "/v1/load"},
		{"service", "/v1/effects"},
		{"log", "/streams/a"},
		{"list", "/vms"},
		{"weights", "/faults"},
		{"store", "/api/log-newest?Topic=keyed.op"},
	}
	for _, test := range tests {
		t.Run(test.role, func(t *testing.T) {
			c := exec.CommandContext(ctx, path, test.role, "--listen", "127.0.0.1:0")
			out, err := c.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, c.Start())
			s := bufio.NewScanner(out)
			assert.Assert(t, s.Scan())
			var line struct {
				Role, Address string
				PID           int
			}
			assert.NilError(t, json.Unmarshal(s.Bytes(), &line))
			assert.Equal(t, line.Role, test.role)
			assert.Equal(t, line.PID, c.Process.Pid)

			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+line.Address+test.get, http.NoBody)
			assert.NilError(t, err)
			res, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusOK)

			assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
			assert.Assert(t, !s.Scan(), "one line only")
			assert.NilError(t, c.Wait())
		})
	}
}

func TestWrongCommandLine(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	path := build(ctx, t)
	for _, args := range [][]string{
		{},
		{"motor"},
		{"engine", "--start", "hot"},
		{"engine", "--slots", "0"},
		{"engine", "--colour", "red"},
		{"log", "--listen", "nowhere"},
	} {
		err := exec.CommandContext(ctx, path, args...).Run()
		assert.Assert(t, err != nil && ctx.Err() == nil, "%v", args)
	}
}
