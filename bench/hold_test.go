package main_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// held is what the tests read of the line that demo --hold prints.
type held struct {
	Log       starter.Line      `json:"log"`
	Upstreams []starter.Line    `json:"upstreams"`
	VMs       []starter.Line    `json:"vms"`
	Tokens    map[string]string `json:"tokens"`
}

// Somebody holds the demonstration up to try it, and then interrupts it, or its
// terminal dies. Either way none of its processes may stay behind, with their
// memory and ports, where nobody knows of them.
func TestHeldDemonstrationLeavesNoProcess(t *testing.T) {
	program := filepath.Join(t.TempDir(), "bench")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			command := exec.CommandContext(t.Context(), program, "demo", "--hold")
			command.Stderr = os.Stderr
			pipe, err := command.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, command.Start())
			line, err := bufio.NewReader(pipe).ReadBytes('\n')
			assert.NilError(t, err)
			var h held
			assert.NilError(t, json.Unmarshal(line, &h))
			assert.Equal(t, len(h.VMs), 3)
			assert.Assert(t, len(h.Tokens) > 0)
			assert.NilError(t, command.Process.Signal(signal))
			err = command.Wait()
			if signal == syscall.SIGINT {
				assert.NilError(t, err)
			}
			b := &bench{t: t, ctx: t.Context()}
			for _, l := range append(append(h.Upstreams, h.VMs...), h.Log) {
				b.until("the process has gone", func() (bool, error) { return ended(l.PID), nil })
			}
		})
	}
}

// ended says whether no process has the id any more.
func ended(pid int) bool {
	p, err := os.FindProcess(pid)
	return err != nil || errors.Is(p.Signal(syscall.Signal(0)), os.ErrProcessDone)
}
