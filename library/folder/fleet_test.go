package folder_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// fleet is a log that drops old records, and VMs that read it from different
// offsets. A reference reader has applied every record from the first one on.
type fleet struct {
	start   uint64
	records []folder.Record // from offset 1 on, including dropped ones
	vms     []*vm

	states   map[uint64]folder.State // of the reference reader, by LastOffset
	verdicts map[uint64]folder.Verdict
	ids      int
}

// vm is one reader of the log.
type vm struct {
	*folder.Reader
}

// newVM returns a VM that first searches for a checkpoint in the last 0 to 5
// records.
func newVM(t *rapid.T) *vm {
	return &vm{folder.NewReader(rapid.Uint64Range(0, 5).Draw(t, "window"))}
}

func (f *fleet) end() uint64 { return uint64(len(f.records)) + 1 }

func (f *fleet) append(data []byte) {
	r := folder.Record{Offset: f.end(), At: time.UnixMilli(int64(f.end())), Data: data}
	f.records = append(f.records, r)
	s, v := folder.Apply(f.states[r.Offset-1], r)
	f.states[r.Offset], f.verdicts[r.Offset] = s, v
}

// step makes a VM read one batch of up to three records.
func (f *fleet) step(t *rapid.T, m *vm) {
	from := m.Next()
	b := folder.Batch{Start: f.start, End: f.end()}
	for at := max(from, f.start); at < f.end() && len(b.Records) < 3; at++ {
		b.Records = append(b.Records, f.records[at-1])
	}
	steps, err := m.Process(from, b)
	assert.NilError(t, err)
	for _, s := range steps {
		f.check(t, s)
	}
}

// check compares a step with the reference reader: the state at the same offset
// is equal, and neither the version nor the last offset decreases.
func (f *fleet) check(t *rapid.T, s folder.Step) {
	assert.DeepEqual(t, s.After, f.states[s.After.LastOffset])
	if s.Bootstrapped {
		assert.Assert(t, s.After.LastOffset+1 >= f.start, "records are lost between the state and the log")
	} else {
		assert.DeepEqual(t, s.Verdict, f.verdicts[s.Record.Offset])
	}
	if s.Before != nil {
		assert.Assert(t, s.After.Version >= s.Before.Version, "version %d after %d", s.After.Version, s.Before.Version)
		assert.Assert(t, s.After.LastOffset > s.Before.LastOffset)
	}
}

func (f *fleet) id() string {
	f.ids++
	return fmt.Sprint("id-", f.ids)
}

// publish appends a publish based on the version in force or on another
// version, or a publish anew. Some of the manifests have findings.
func (f *fleet) publish(t *rapid.T) {
	now := f.states[f.end()-1]
	p := recorder.Publish{Base: now.Version, Manifest: manifest(rapid.IntRange(0, 5).Draw(t, "seats")), Who: "kim", ID: f.id()}
	switch rapid.IntRange(0, 5).Draw(t, "base") {
	case 0:
		p.Base = rapid.Uint64Range(0, f.end()).Draw(t, "other")
	case 1:
		p.Anew, p.Base = true, f.end()-min(f.end(), rapid.Uint64Range(0, 2).Draw(t, "behind"))
	}
	f.append(wrap(t, recorder.KindPublish, p))
}

func (f *fleet) order(t *rapid.T) {
	kind := rapid.SampledFrom([]recorder.Target{recorder.TargetVM, recorder.TargetZone, recorder.TargetUpstream}).Draw(t, "kind")
	name := rapid.SampledFrom([]string{"a", "b", "u", "entry-1"}).Draw(t, "name")
	o := recorder.Order{Kind: kind, Name: name, Out: rapid.Bool().Draw(t, "out"), Who: "kim", ID: f.id()}
	if rapid.Bool().Draw(t, "based") {
		o.Base = f.end() - min(f.end(), rapid.Uint64Range(0, 3).Draw(t, "behind"))
	}
	f.append(wrap(t, recorder.KindOrder, o))
}

// again appends a copy of an earlier record.
func (f *fleet) again(t *rapid.T) {
	if len(f.records) > 0 {
		f.append(rapid.SampledFrom(f.records).Draw(t, "record").Data)
	}
}

func (f *fleet) hostile(t *rapid.T) {
	data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")
	if rapid.Bool().Draw(t, "wrapped") {
		kind := rapid.SampledFrom([]string{recorder.KindPublish, recorder.KindOrder, recorder.KindCheckpoint}).Draw(t, "kind")
		data = wrap(t, kind, data)
	}
	f.append(data)
}

// checkpoint makes any VM that has a state write a checkpoint, even one that is
// far behind the end. Several VMs may write one.
func (f *fleet) checkpoint(t *rapid.T) {
	m := rapid.SampledFrom(f.vms).Draw(t, "writer")
	if m.State() != nil {
		f.append(wrap(t, recorder.KindCheckpoint, folder.NewCheckpoint(*m.State())))
	}
}

// adopt makes a VM take over the state of another one that has read further.
func (f *fleet) adopt(t *rapid.T) {
	from := rapid.SampledFrom(f.vms).Draw(t, "from").State()
	to := rapid.SampledFrom(f.vms).Draw(t, "to")
	if from == nil || (to.State() != nil && from.LastOffset <= to.State().LastOffset) {
		return
	}
	s, err := folder.Restore(folder.NewCheckpoint(*from))
	assert.NilError(t, err)
	f.check(t, folder.Step{Before: to.State(), After: s, Verdict: f.verdicts[s.LastOffset], Record: folder.Record{Offset: s.LastOffset}})
	to.SetState(s)
}

// Operators race, records are duplicated or malformed, the log drops old
// records, and VMs freeze or are replaced at any time. The test guards against
// two VMs holding different manifests permanently, and against a VM returning
// to an older one.
func TestFleetHoldsOneConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{start: 1, states: map[uint64]folder.State{0: {}}, verdicts: map[uint64]folder.Verdict{}}
		for range 4 {
			f.vms = append(f.vms, newVM(t))
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish":    f.publish,
			"order":      f.order,
			"again":      f.again,
			"hostile":    f.hostile,
			"checkpoint": f.checkpoint,
			"adopt":      f.adopt,
			"expire": func(t *rapid.T) {
				f.start = min(f.end(), f.start+rapid.Uint64Range(1, 5).Draw(t, "records"))
			},
			"replace": func(t *rapid.T) {
				f.vms[rapid.IntRange(0, 3).Draw(t, "vm")] = newVM(t)
			},
			"read": func(t *rapid.T) {
				m := rapid.SampledFrom(f.vms).Draw(t, "vm")
				for range rapid.IntRange(1, 10).Draw(t, "records") {
					f.step(t, m)
				}
			},
			"": func(*rapid.T) {},
		})
		f.settle(t)
	})
}

// settle ends the faults: an operator publishes anew, as the documentation
// requires when no checkpoint is left, and every VM must then reach the same
// state.
func (f *fleet) settle(t *rapid.T) {
	p := recorder.Publish{Base: f.end(), Anew: true, Manifest: manifest(7), Who: "kim", ID: f.id()}
	f.append(wrap(t, recorder.KindPublish, p))
	f.append(order(t, recorder.TargetZone, "b", true, f.id()))
	for _, m := range f.vms {
		for range 4*len(f.records) + 10 {
			f.step(t, m)
		}
		assert.Equal(t, m.State().LastOffset, f.end()-1)
		assert.Assert(t, m.State().IsOut(recorder.TargetZone, "b"))
	}
}
