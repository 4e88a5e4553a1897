package joiner

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/pager"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

// maxDatagramSize is the size in bytes of the buffer for received datagrams.
const maxDatagramSize = 64 << 10

// A sender sends datagrams over a UDP socket.
type sender struct{ conn *net.UDPConn }

func (s sender) Send(to netip.AddrPort, data []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(data, to)
	return err
}

// receiveDatagrams passes datagrams to the allocator and the gossiper until the socket is
// closed.
func (v *Process) receiveDatagrams() {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := v.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if n > 0 && buffer[0] == allocator.DatagramType {
			v.allocator.Receive(from, buffer[:n])
			continue
		}
		v.gossiper.Receive(from, buffer[:n])
	}
}

// A fetcher fetches records from peers.
type fetcher struct{ *gossiper.Gossiper }

// Fetch fetches a peer's records of a stream, starting at a position.
func (f fetcher) Fetch(ctx context.Context, from netip.AddrPort, stream string, at replicator.Position) (replicator.Page, error) {
	return pager.Fetch(ctx, from, stream, at, time.Now)
}
