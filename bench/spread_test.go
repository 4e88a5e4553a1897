package main_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// held waits until VMs hold a version.
func (b *bench) held(version uint64, vms ...*starter.Process) {
	b.t.Helper()
	b.until("the version is in force", func() (bool, error) {
		for _, vm := range vms {
			if b.version(vm) != version {
				return false, nil
			}
		}
		return true, nil
	})
}

// publish publishes the fleet's manifest with another longest answer, and
// returns its version.
func (b *bench) publish(output int) uint64 {
	b.t.Helper()
	m := b.Manifest()
	model := m.Models[b.Size.Model]
	model.Output = output
	m.Models[b.Size.Model] = model
	path, err := b.WriteManifest("next.toml", m)
	assert.NilError(b.t, err)
	out, code, err := b.Operate(b.ctx, "publish", path, "--json")
	assert.NilError(b.t, err)
	assert.Equal(b.t, code, 0, out)
	var result struct{ Offset uint64 }
	assert.NilError(b.t, json.Unmarshal([]byte(out), &result), out)
	return result.Offset
}

// The log fails, and a VM is replaced meanwhile. The new one finds no record to
// read, and would not be ready for as long as the outage lasts, unless another
// VM gives it the configuration. Of the manifest that it gets, none may be one
// that was replaced before.
func TestReplacedVMGetsTheConfigurationInAnOutage(t *testing.T) {
	b := start(t)
	version := b.publish(100)
	b.held(version, b.VMs...)
	b.faults(starter.Faults{Down: true}, b.Log)
	vm := b.VMs[0]
	assert.NilError(t, vm.Kill())
	assert.NilError(t, b.Restart(b.ctx, vm))
	b.held(version, vm)
}

// Somebody, or a faulty program, appends what is no change to the stream of the
// configuration. No VM may stop following it: a zone that is then taken out
// would go on getting work.
func TestHostileRecordsStopNoVM(t *testing.T) {
	b := start(t)
	log := appender.New("http://"+b.Log.Line.Address, http.DefaultClient)
	for _, data := range [][]byte{nil, []byte("\xff\xffhello"), []byte("seats = 5"), make([]byte, appender.MaxRecordBytes)} {
		_, err := log.Append(b.ctx, recorder.ConfigStream, data)
		assert.NilError(t, err)
	}
	for _, kind := range []string{recorder.KindPublish, recorder.KindOrder, recorder.KindCheckpoint, "later"} {
		data, err := recorder.Wrap(kind, recorder.Checkpoint{Version: 9, LastOffset: 99, Manifest: []byte("seats = 5")})
		assert.NilError(t, err)
		_, err = log.Append(b.ctx, recorder.ConfigStream, data)
		assert.NilError(t, err)
	}
	before := b.version(b.VMs[0])
	version := b.publish(100)
	begun := time.Now()
	b.held(version, b.VMs...)
	t.Logf("version %d after %d, held by all VMs %s after vanectl had seen it accepted", version, before, time.Since(begun))
}

// All VMs are replaced, one after another and then at once. What operators
// published and ordered must be in force as before.
func TestConfigurationOutlivesAllVMs(t *testing.T) {
	b := start(t)
	version := b.publish(100)
	zone := b.Size.Zones[0]
	b.operate("zone", "out", zone)
	for _, vm := range b.VMs {
		assert.NilError(t, vm.Kill())
		assert.NilError(t, b.Restart(b.ctx, vm))
		b.held(version, vm)
	}
	for _, vm := range b.VMs {
		assert.NilError(t, vm.Kill())
	}
	for _, vm := range b.VMs {
		assert.NilError(t, b.Restart(b.ctx, vm))
	}
	b.held(version, b.VMs...)
	for _, vm := range b.VMs {
		if b.Zone(vm) == zone {
			continue
		}
		assert.NilError(t, b.Ready(b.ctx, vm))
		b.whole(b.ask(vm, "after all were replaced", 2000, 8))
	}
	out, code, err := b.Operate(b.ctx, "status")
	assert.NilError(t, err)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "out: zone "+zone), out)
}
