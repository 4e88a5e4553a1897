package main_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// Two operators publish different manifests at the same moment, both built on
// the version in force. One is accepted and the other refused, and every VM
// puts the same one in force: a fleet with two configurations would bill one
// team under two shares.
func TestRacingPublishesEndInOneVersion(t *testing.T) {
	b := start(t)
	type published struct {
		out  string
		code int
		err  error
	}
	const operators = 2
	results := make(chan published, operators)
	paths := make([]string, operators)
	for i := range operators {
		m := b.Manifest()
		model := m.Models[b.Size.Model]
		model.Output = 100 + i
		m.Models[b.Size.Model] = model
		var err error
		paths[i], err = b.WriteManifest([]string{"one.toml", "other.toml"}[i], m)
		assert.NilError(t, err)
	}
	before := b.version(b.VMs[0])
	for _, path := range paths {
		go func() {
			out, code, err := b.Operate(b.ctx, "publish", path, "--base", strconv.FormatUint(before, 10))
			results <- published{out, code, err}
		}()
	}
	accepted := 0
	for range operators {
		r := <-results
		assert.NilError(t, r.err)
		t.Logf("exit code %d: %s", r.code, r.out)
		if r.code == 0 {
			accepted++
		}
	}
	assert.Equal(t, accepted, 1)
	b.until("all VMs have the new version", func() (bool, error) {
		first := b.version(b.VMs[0])
		for _, vm := range b.VMs {
			if v := b.version(vm); v == before || v != first {
				return false, nil
			}
		}
		return true, nil
	})
}

// version is the configuration's version in force on a VM.
func (b *bench) version(vm *starter.Process) uint64 {
	b.t.Helper()
	var status struct {
		Version uint64 `json:"version"`
	}
	assert.NilError(b.t, starter.Status(b.ctx, vm, &status))
	return status.Version
}
