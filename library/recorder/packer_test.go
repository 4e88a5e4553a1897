package recorder_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/recorder"
)

func TestPack(t *testing.T) {
	source := bytes.Repeat([]byte("[upstreams.u]\n"), 1000)
	packed, err := recorder.Compress(source)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < len(source)/10)
	for _, data := range [][]byte{source, packed} {
		got, err := recorder.Decompress(data, len(source))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, source)
	}
	_, err = recorder.Decompress(packed, len(source)-1)
	assert.ErrorContains(t, err, "more than is allowed")
	for end := 2; end < len(packed); end++ {
		_, err := recorder.Decompress(packed[:end], len(source))
		assert.Assert(t, recorder.ErrDecode.Has(err), "%d of %d bytes", end, len(packed))
	}
}
