package folder_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// stream is a log that drops nothing and counts the records it has delivered.
type stream struct {
	records   [][]byte
	delivered int
}

// read makes a reader read to the end, or until its search is exhausted.
func (l *stream) read(t *testing.T, r *folder.Reader, start uint64) {
	end := uint64(len(l.records)) + 1
	for range 10 * len(l.records) {
		from := r.Next()
		b := folder.Batch{Start: start, End: end}
		for at := max(from, start); at < end && len(b.Records) < 16; at++ {
			b.Records = append(b.Records, folder.Record{Offset: at, Data: l.records[at-1]})
		}
		l.delivered += len(b.Records)
		_, err := r.Process(from, b)
		assert.NilError(t, err)
		if r.Exhausted() || (r.State() != nil && r.State().LastOffset+1 >= end) {
			return
		}
	}
	t.Fatal("the reader does not reach the end")
}

// A fleet publishes hundreds of large manifests an hour. A VM that applied all
// of them before it was ready would be unavailable for minutes after a start.
func TestReaderStartsNearTheEnd(t *testing.T) {
	l := &stream{records: [][]byte{publish(t, 0, "p1")}}
	var s folder.State
	for i := range 1000 {
		l.records = append(l.records, order(t, recorder.TargetZone, "a", i%2 == 0, fmt.Sprint("o", i)))
	}
	for i, data := range l.records {
		s, _ = folder.Apply(s, folder.Record{Offset: uint64(i + 1), Data: data})
	}
	// Without a checkpoint, each search starts further back, and the last one at
	// the first record.
	whole := folder.NewReader(folder.CheckpointWindow)
	l.read(t, whole, 1)
	assert.Equal(t, whole.State().Version, uint64(1))
	assert.DeepEqual(t, whole.State().OutOfService, s.OutOfService)
	lost := folder.NewReader(folder.CheckpointWindow)
	l.read(t, lost, 2)
	assert.Assert(t, lost.Exhausted())

	l.records = append(l.records, wrap(t, recorder.KindCheckpoint, folder.NewCheckpoint(s)))
	for i := range 30 {
		l.records = append(l.records, order(t, recorder.TargetVM, "entry-1", i%2 == 0, fmt.Sprint("v", i)))
	}
	l.read(t, whole, 1)
	l.delivered = 0
	near := folder.NewReader(folder.CheckpointWindow)
	l.read(t, near, 1)
	assert.Assert(t, l.delivered <= 3*folder.CheckpointWindow, "%d records read", l.delivered)
	assert.Equal(t, near.State().LastOffset, whole.State().LastOffset)
	assert.DeepEqual(t, near.State().Audit[255], whole.State().Audit[255])
	// A reader whose search was exhausted continues once there is a checkpoint.
	l.read(t, lost, 2)
	assert.Equal(t, lost.State().LastOffset, whole.State().LastOffset)
}
