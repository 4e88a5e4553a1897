package deduplicator_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// A model of several VMs with one log. Appends are refused, lost, late and
// doubled; VMs crash, freeze and lag; clocks differ; the log drops records.
type model struct {
	limits deduplicator.Limits
	now    time.Time // the log's
	log    []appender.Record
	start  uint64
	late   []recorder.CallEntry // may land at any time, also again
	vms    []*modelVM
	keys   []modelKey
	runs   map[string]int
}

type modelKey struct {
	word  string
	hash  recorder.Hash
	dated bool
	first time.Time // its caller uses it within a window from then
}

type modelVM struct {
	name   string
	skew   time.Duration
	boot   uint64
	seq    uint64
	ledger *deduplicator.Ledger
	tries  []modelTry
	sure   []modelTry // won and checked, not yet sent
}

type modelTry struct {
	key     modelKey
	attempt recorder.Attempt
	begun   time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{
		limits: deduplicator.Limits{Window: 100 * time.Second, MaxClockSkew: 5 * time.Second},
		now:    start, start: 1, runs: make(map[string]int),
	}
	for i := range 3 {
		skew := time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
		m.vms = append(m.vms, &modelVM{name: fmt.Sprint("v", i), skew: skew, ledger: deduplicator.NewLedger(m.limits.Keep())})
	}
	m.newKey(t)
	return m
}

func (m *model) newKey(t *rapid.T) {
	skew := time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
	n := len(m.keys) + 1
	m.keys = append(m.keys, modelKey{
		word: keyMade(m.now.Add(skew), n), hash: recorder.Hash{byte(n), byte(n >> 8)},
		dated: rapid.Bool().Draw(t, "dated"), first: m.now,
	})
}

// append lands an entry now, late, twice or never.
func (m *model) append(t *rapid.T, e recorder.CallEntry) {
	switch rapid.SampledFrom([]string{"land", "land", "late", "both", "never"}).Draw(t, "append") {
	case "land":
		m.land(e)
	case "late":
		m.late = append(m.late, e)
	case "both":
		m.land(e)
		m.late = append(m.late, e)
	}
}

func (m *model) land(e recorder.CallEntry) {
	data, err := recorder.Wrap(recorder.KindCalls, recorder.CallBatch{Calls: []recorder.CallEntry{e}})
	if err != nil {
		panic(err)
	}
	m.log = append(m.log, appender.Record{Offset: m.start + uint64(len(m.log)), At: m.now, Data: data})
}

// read has a VM read up to n records.
func (m *model) read(v *modelVM, n int) {
	end := m.start + uint64(len(m.log))
	from := max(v.ledger.Next(), m.start)
	b := appender.Batch{Start: m.start, End: end}
	if from < end {
		rest := m.log[from-m.start:]
		b.Records = rest[:min(n, len(rest))]
	}
	v.ledger.Read(b, m.now.Add(v.skew))
}

func (m *model) vm(t *rapid.T) *modelVM { return rapid.SampledFrom(m.vms).Draw(t, "vm") }

// begin takes a call with a key, as Deduplicator.Begin does.
func (m *model) begin(t *rapid.T) {
	v, k := m.vm(t), rapid.SampledFrom(m.keys[max(0, len(m.keys)-2):]).Draw(t, "key")
	if !k.dated && m.now.Sub(k.first) > m.limits.Window {
		return
	}
	// A VM that has not read the log to its end a moment ago refuses. For a
	// dated key it may be behind by any time, if it has only begun.
	if v.ledger.Next() == 1 || !k.dated {
		m.read(v, 1000)
	}
	if v.ledger.Judge(k.hash, recorder.Hash{9}).Standing != deduplicator.Free {
		return
	}
	if m.limits.Check(k.word, k.dated, v.ledger.Since(), m.now.Add(v.skew)) != nil {
		return
	}
	v.seq++
	a := recorder.Attempt{VM: v.name, Boot: v.boot, Seq: v.seq}
	v.tries = append(v.tries, modelTry{k, a, m.now})
	m.append(t, recorder.CallEntry{Key: k.hash, Attempt: a, Intent: &recorder.Intent{Print: recorder.Hash{9}}})
}

// take removes one try of a VM.
func (v *modelVM) take(t *rapid.T) (modelTry, bool) {
	if len(v.tries) == 0 {
		return modelTry{}, false
	}
	i := rapid.IntRange(0, len(v.tries)-1).Draw(t, "try")
	try := v.tries[i]
	v.tries = append(v.tries[:i:i], v.tries[i+1:]...)
	return try, true
}

// win checks every try of a VM that has won.
func (m *model) win(t *rapid.T) {
	v := m.vm(t)
	var open []modelTry
	for _, try := range v.tries {
		switch {
		case v.ledger.Decide(try.key.hash, try.attempt) != deduplicator.Won:
			open = append(open, try)
		case m.fresh(v, try):
			v.sure = append(v.sure, try)
		default: // as Ticket.Check; whether its VM abandons makes no difference
		}
	}
	v.tries = open
}

// fresh is Ticket.Check.
func (m *model) fresh(v *modelVM, try modelTry) bool {
	return m.now.Sub(try.begun) < m.limits.Life() &&
		m.limits.Check(try.key.word, try.key.dated, v.ledger.Since(), m.now.Add(v.skew)) == nil
}

// send sends what was found to have won. It may come any time after the
// verdict: the VM may have been frozen in between.
func (m *model) send(t *rapid.T) {
	v := m.vm(t)
	for _, try := range v.sure {
		m.runs[try.key.word]++
		m.append(t, recorder.CallEntry{Key: try.key.hash, Attempt: try.attempt, Outcome: &recorder.Outcome{Status: 200}})
	}
	v.sure = nil
}

func (m *model) giveUp(t *rapid.T) {
	if try, ok := m.vm(t).take(t); ok {
		m.append(t, recorder.CallEntry{Key: try.key.hash, Attempt: try.attempt, Abandon: true})
	}
}

func (m *model) lateLands(t *rapid.T) {
	if len(m.late) > 0 {
		m.land(rapid.SampledFrom(m.late).Draw(t, "late"))
	}
}

func (m *model) crash(t *rapid.T) {
	v := m.vm(t)
	v.boot++
	v.tries, v.sure = nil, nil
	v.ledger = deduplicator.NewLedger(m.limits.Keep())
	m.read(v, 1000)
}

// drop has the log drop records, also such as are still needed.
func (m *model) drop(t *rapid.T) {
	n := rapid.IntRange(0, len(m.log)).Draw(t, "dropped")
	m.log = m.log[n:]
	m.start += uint64(n)
}

// A booking is repeated through several VMs while the platform and the VMs fail
// in every way that the model knows. However it goes, the service gets it once
// at most; a second booking would charge a member twice.
func TestOneRunPerKey(t *testing.T) {
	for range 10 { // 1,000 checks
		rapid.Check(t, checkOneRun)
	}
}

func checkOneRun(t *rapid.T) {
	m := newModel(t)
	t.Repeat(map[string]func(*rapid.T){
		"key":   m.newKey,
		"begin": m.begin,
		"read":  func(t *rapid.T) { m.read(m.vm(t), rapid.SampledFrom([]int{1, 2, 1000}).Draw(t, "records")) },
		"fresh": func(t *rapid.T) { m.read(m.vm(t), 1000) },
		"again": m.begin,
		"win":   m.win,
		"send":  m.send,
		"give":  m.giveUp,
		"late":  m.lateLands,
		"crash": m.crash,
		"drop":  m.drop,
		"pass": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 5, 20, 60, 110}).Draw(t, "seconds")) * time.Second)
		},
		"": func(t *rapid.T) {
			for key, n := range m.runs {
				if n > 1 {
					t.Fatalf("key %s ran %d times", key, n)
				}
			}
		},
	})
}
