package starter_test

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// launch starts the stand-ins of a fleet that has no VMs.
func launch(t *testing.T) (*starter.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	programs, err := starter.Build(ctx, t.TempDir())
	assert.NilError(t, err)
	size, err := starter.SizeNamed("small")
	assert.NilError(t, err)
	size.VMs = 0
	f := starter.New(programs, size, starter.Policy{}, t.TempDir())
	t.Cleanup(func() { assert.Check(t, f.Close()) })
	assert.NilError(t, f.Start(ctx))
	return f, ctx
}

// gone says whether no process has the id any more.
func gone(pid int) bool {
	p, err := os.FindProcess(pid)
	return err != nil || errors.Is(p.Signal(syscall.Signal(0)), os.ErrProcessDone)
}

func TestCloseEndsAllThatWasStarted(t *testing.T) {
	f, _ := launch(t)
	pids := []int{f.Log.PID(), f.List.PID(), f.Weights.PID()}
	for _, p := range f.Upstreams() {
		assert.Equal(t, p.PID(), p.Line.PID)
		pids = append(pids, p.PID())
	}
	assert.NilError(t, f.Engines[0].Freeze())
	assert.NilError(t, f.Engines[1].Kill())
	assert.NilError(t, f.Close())
	for _, pid := range pids {
		assert.Check(t, gone(pid), "process %d still runs", pid)
	}
	assert.ErrorContains(t, f.Start(t.Context()), "the fleet is closed")
}

func TestKilledProcessRestartsUnderItsName(t *testing.T) {
	f, ctx := launch(t)
	p := f.Engines[0]
	assert.ErrorContains(t, f.Restart(ctx, p), "still runs")
	before, err := starter.LoadOf(ctx, p)
	assert.NilError(t, err)
	assert.NilError(t, p.Kill())
	assert.ErrorContains(t, p.Kill(), "has ended")
	assert.NilError(t, f.Restart(ctx, p))
	after, err := starter.LoadOf(ctx, p)
	assert.NilError(t, err)
	assert.Assert(t, after.Boot > before.Boot)
	found, err := f.Find("engine1")
	assert.NilError(t, err)
	assert.Equal(t, found, p)
	assert.NilError(t, starter.SetFaults(ctx, p, starter.Faults{Down: true}))
	_, err = starter.LoadOf(ctx, p)
	assert.ErrorContains(t, err, "503")
}

func TestUnknownFleetNamesTheKnown(t *testing.T) {
	_, err := starter.SizeNamed("hambit")
	assert.ErrorContains(t, err, "altmuehl, hanbit, small")
}
