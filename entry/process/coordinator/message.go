package coordinator

import (
	"github.com/heathervane/heathervane/entry/connection/linker"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
)

// A Message is what one VM tells another at one moment; parts that are empty
// are not sent.
type Message struct {
	Beat  *member.Heartbeat `cbor:"1,keyasint,omitempty"`
	Asks  []lender.Ask      `cbor:"2,keyasint,omitempty"`
	Loans []lender.Loan     `cbor:"3,keyasint,omitempty"`
	Table []lender.Table    `cbor:"4,keyasint,omitempty"`
	// Told acknowledges tables by upstream and fence.
	Told []Told `cbor:"5,keyasint,omitempty"`
	// Clear names stopped processes that have nothing running any more.
	Clear []Clear `cbor:"6,keyasint,omitempty"`
}

// Told acknowledges the table of an upstream.
type Told struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Fence uint64
}

// Clear says that nothing of a stopped process runs at an upstream any more.
type Clear struct {
	_    struct{} `cbor:",toarray"`
	Name string
	VM   string
	Boot uint64
}

// beat says whether a message holds nothing but a heartbeat.
func (m *Message) beat() bool {
	return len(m.Asks)+len(m.Loans)+len(m.Table)+len(m.Told)+len(m.Clear) == 0
}

// kind is the kind of a Message on a link.
const kind = "control"

// Links sends messages between VMs.
type Links interface {
	// Open starts to open a link where none stands, and returns at once.
	Open(vm, address string)
	// Linked lists the VMs that a link stands to.
	Linked() []string
	// Send queues a message. It may be lost.
	Send(to string, m Message)
	// Receive sets what is called with each message.
	Receive(f func(from lender.Who, m Message))
}

// Over returns Links over a Linker.
func Over(l *linker.Linker) Links { return over{l} }

type over struct{ l *linker.Linker }

func (o over) Open(vm, address string) { o.l.Connect(vm, address) }
func (o over) Linked() []string        { return o.l.Connected() }

func (o over) Send(to string, m Message) {
	// Without a link the message is lost, as it may be on one: whoever sent it
	// sends anew.
	if m.beat() {
		_ = linker.SendHeartbeat(o.l, to, kind, m)
		return
	}
	_ = linker.Send(o.l, to, kind, m)
}

func (o over) Receive(f func(from lender.Who, m Message)) {
	linker.Handle(o.l, kind, func(from linker.Peer, m Message) {
		f(lender.Who{VM: from.VM, Boot: from.Boot}, m)
	})
}
