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

// A model simulates several VMs with one log. Appends are refused, lost, delayed and
// duplicated; VMs crash, freeze and lag; clocks differ; the log drops records.
type model struct {
	limits  deduplicator.Limits
	now     time.Time // the log's time
	log     []appender.Record
	start   uint64
	delayed []recorder.CallEntry // may be stored at any time, also repeatedly
	vms     []*modelVM
	keys    []modelKey
	runs    map[string]int
}

type modelKey struct {
	key         string
	hash        recorder.Hash
	timestamped bool
	created     time.Time // a caller uses a key without a timestamp only within a window from then
}

type modelVM struct {
	name      string
	skew      time.Duration
	boot      uint64
	seq       uint64
	ledger    *deduplicator.Ledger
	attempts  []modelAttempt
	permitted []modelAttempt // won and checked, not yet sent
}

type modelAttempt struct {
	key      modelKey
	attempt  recorder.Attempt
	received time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{
		limits: deduplicator.Limits{Window: 100 * time.Second, MaxClockSkew: 5 * time.Second},
		now:    start, start: 1, runs: make(map[string]int),
	}
	for i := range 3 {
		skew := time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
		m.vms = append(m.vms, &modelVM{name: fmt.Sprint("v", i), skew: skew, ledger: deduplicator.NewLedger(m.limits.Retention())})
	}
	m.newKey(t)
	return m
}

func (m *model) newKey(t *rapid.T) {
	skew := time.Duration(rapid.IntRange(-2500, 2500).Draw(t, "skew")) * time.Millisecond
	n := len(m.keys) + 1
	m.keys = append(m.keys, modelKey{
		key: uuidAt(m.now.Add(skew), n), hash: recorder.Hash{byte(n), byte(n >> 8)},
		timestamped: rapid.Bool().Draw(t, "dated"), created: m.now,
	})
}

// append stores an entry now, later, twice or never.
func (m *model) append(t *rapid.T, e recorder.CallEntry) {
	switch rapid.SampledFrom([]string{"land", "land", "late", "both", "never"}).Draw(t, "append") {
	case "land":
		m.store(e)
	case "late":
		m.delayed = append(m.delayed, e)
	case "both":
		m.store(e)
		m.delayed = append(m.delayed, e)
	}
}

func (m *model) store(e recorder.CallEntry) {
	data, err := recorder.Wrap(recorder.KindCalls, recorder.CallBatch{Calls: []recorder.CallEntry{e}})
	if err != nil {
		panic(err)
	}
	m.log = append(m.log, appender.Record{Offset: m.start + uint64(len(m.log)), At: m.now, Data: data})
}

// read makes a VM read up to n records.
func (m *model) read(v *modelVM, n int) {
	end := m.start + uint64(len(m.log))
	from := max(v.ledger.NextOffset(), m.start)
	b := appender.Batch{Start: m.start, End: end}
	if from < end {
		rest := m.log[from-m.start:]
		b.Records = rest[:min(n, len(rest))]
	}
	v.ledger.ApplyRecords(b, m.now.Add(v.skew))
}

func (m *model) vm(t *rapid.T) *modelVM { return rapid.SampledFrom(m.vms).Draw(t, "vm") }

// begin starts a call with a key, as Deduplicator.Begin does.
func (m *model) begin(t *rapid.T) {
	v, k := m.vm(t), rapid.SampledFrom(m.keys[max(0, len(m.keys)-2):]).Draw(t, "key")
	if !k.timestamped && m.now.Sub(k.created) > m.limits.Window {
		return
	}
	// A VM that has not recently read the log to its end refuses new keys. For
	// a timestamped key the VM may lag by any amount once it has read anything.
	if v.ledger.NextOffset() == 1 || !k.timestamped {
		m.read(v, 1000)
	}
	if v.ledger.Lookup(k.hash, recorder.Hash{9}).State != deduplicator.Free {
		return
	}
	if m.limits.CheckKey(k.key, k.timestamped, v.ledger.CompleteSince(), m.now.Add(v.skew)) != nil {
		return
	}
	v.seq++
	a := recorder.Attempt{VM: v.name, Boot: v.boot, Seq: v.seq}
	v.attempts = append(v.attempts, modelAttempt{k, a, m.now})
	m.append(t, recorder.CallEntry{Key: k.hash, Attempt: a, Intent: &recorder.Intent{Print: recorder.Hash{9}}})
}

// take removes and returns one attempt of a VM.
func (v *modelVM) take(t *rapid.T) (modelAttempt, bool) {
	if len(v.attempts) == 0 {
		return modelAttempt{}, false
	}
	index := rapid.IntRange(0, len(v.attempts)-1).Draw(t, "try")
	try := v.attempts[index]
	v.attempts = append(v.attempts[:index:index], v.attempts[index+1:]...)
	return try, true
}

// checkWinners checks every attempt of a VM that has won.
func (m *model) checkWinners(t *rapid.T) {
	v := m.vm(t)
	var open []modelAttempt
	for _, try := range v.attempts {
		switch {
		case v.ledger.AttemptState(try.key.hash, try.attempt) != deduplicator.Won:
			open = append(open, try)
		case m.stillValid(v, try):
			v.permitted = append(v.permitted, try)
		default: // refused as by Ticket.Check; an abandonment would make no difference
		}
	}
	v.attempts = open
}

// stillValid does what Ticket.Check does.
func (m *model) stillValid(v *modelVM, try modelAttempt) bool {
	return m.now.Sub(try.received) < m.limits.TicketLifetime() &&
		m.limits.CheckKey(try.key.key, try.key.timestamped, v.ledger.CompleteSince(), m.now.Add(v.skew)) == nil
}

// send sends the calls of permitted attempts. It may happen any time after the
// decision, because the VM may have been frozen in between.
func (m *model) send(t *rapid.T) {
	v := m.vm(t)
	for _, try := range v.permitted {
		m.runs[try.key.key]++
		m.append(t, recorder.CallEntry{Key: try.key.hash, Attempt: try.attempt, Outcome: &recorder.Outcome{Status: 200}})
	}
	v.permitted = nil
}

func (m *model) abandon(t *rapid.T) {
	if try, ok := m.vm(t).take(t); ok {
		m.append(t, recorder.CallEntry{Key: try.key.hash, Attempt: try.attempt, Abandon: true})
	}
}

func (m *model) storeDelayed(t *rapid.T) {
	if len(m.delayed) > 0 {
		m.store(rapid.SampledFrom(m.delayed).Draw(t, "late"))
	}
}

func (m *model) crash(t *rapid.T) {
	v := m.vm(t)
	v.boot++
	v.attempts, v.permitted = nil, nil
	v.ledger = deduplicator.NewLedger(m.limits.Retention())
	m.read(v, 1000)
}

// drop makes the log drop records, including some that are still needed.
func (m *model) drop(t *rapid.T) {
	n := rapid.IntRange(0, len(m.log)).Draw(t, "dropped")
	m.log = m.log[n:]
	m.start += uint64(n)
}

// A booking is repeated through several VMs while the platform and the VMs fail in
// every way that the model knows. The service must get the booking at most once; a
// second one would charge a customer twice.
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
		"win":   m.checkWinners,
		"send":  m.send,
		"give":  m.abandon,
		"late":  m.storeDelayed,
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
