package starter_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/library/checker"
)

func TestManifestsOfAllFleetsAreSound(t *testing.T) {
	for name, size := range starter.Sizes() {
		t.Run(name, func(t *testing.T) {
			f := starter.New(starter.Programs{}, size, starter.Policy{}, t.TempDir())
			t.Cleanup(func() { assert.Check(t, f.Close()) })
			process := func(name, address string) *starter.Process {
				return &starter.Process{Name: name, Line: starter.Line{Address: address}}
			}
			f.Engines = []*starter.Process{process("engine1", "127.0.0.1:1"), process("engine2", "127.0.0.1:2")}
			f.Services = []*starter.Process{process("service1", "127.0.0.1:3")}
			path, err := f.WriteManifest("manifest.toml", f.Manifest())
			assert.NilError(t, err)
			text, err := os.ReadFile(path)
			assert.NilError(t, err)
			_, found := checker.Parse(text)
			assert.NilError(t, found.Err())
		})
	}
}
