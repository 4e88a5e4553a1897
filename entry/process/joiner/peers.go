package joiner

import (
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/replicator"
)

const (
	// mostDatagram is the longest datagram read, and mostRecords the longest
	// reading of a peer's records, in bytes.
	mostDatagram = 64 << 10
	mostRecords  = 32 << 20
	// leastPacked is the size in bytes from which records are compressed: all
	// VMs of a zone ask for a new version at once, and some have links of 20
	// Mbit/s, on which thirty times 100 KB take more than a second.
	leastPacked = 2 << 10
	// recordsPath is where a VM serves its copies to its peers.
	recordsPath = "/records"
)

// A sender sends datagrams over a socket.
type sender struct{ conn *net.UDPConn }

func (s sender) Send(to netip.AddrPort, data []byte) error {
	_, err := s.conn.WriteToUDPAddrPort(data, to)
	return err
}

// receive takes datagrams in until the socket is closed.
func (v *Process) receive() {
	buffer := make([]byte, mostDatagram)
	for {
		n, from, err := v.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if n > 0 && buffer[0] == allocator.Mark {
			v.allocator.Receive(from, buffer[:n])
			continue
		}
		v.gossiper.Receive(from, buffer[:n])
	}
}

// query is what a peer is asked for.
type query struct {
	Stream string `url:"stream"`
	From   int64  `url:"from"`
}

// page is a peer's answer.
type page struct {
	Records []replicator.Record `cbor:"1,keyasint"`
	End     int64               `cbor:"2,keyasint"`
	// Age is how long ago the platform confirmed the end, in milliseconds.
	Age   int64 `cbor:"3,keyasint"`
	Whole bool  `cbor:"4,keyasint,omitempty"`
}

// serveRecord answers a peer that asks for records.
func (v *Process) serveRecord(w http.ResponseWriter, q *http.Request) {
	c, ok := v.copies[q.FormValue("stream")]
	from, err := strconv.ParseInt(q.FormValue("from"), 10, 64)
	if !ok || err != nil {
		http.Error(w, "no such stream or offset", http.StatusBadRequest)
		return
	}
	p := c.Since(from)
	data, err := cbor.Marshal(page{Records: p.Records, End: p.End, Age: time.Since(p.AsOf).Milliseconds(), Whole: p.Whole})
	if err != nil {
		v.log.Error().Err(err).Msg("records for a peer were not encoded")
		http.Error(w, "not encoded", http.StatusInternalServerError)
		return
	}
	if len(data) < leastPacked || !strings.Contains(q.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packed, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		_, err = packed.Write(data)
		err = errors.Join(err, packed.Close())
	}
	if err != nil {
		v.log.Info().Err(err).Str("peer", q.RemoteAddr).Msg("records not sent to a peer")
	}
}

// A fetcher reads records from peers.
type fetcher struct{ *gossiper.Gossiper }

// Fetch gets a peer's records from an offset on.
func (f fetcher) Fetch(ctx context.Context, from netip.AddrPort, stream string, offset int64) (replicator.Page, error) {
	q, err := sling.New().Base("http://" + from.String()).Get(recordsPath).QueryStruct(query{stream, offset}).Request()
	if err != nil {
		return replicator.Page{}, err
	}
	reply, err := http.DefaultClient.Do(q.WithContext(ctx))
	if err != nil {
		return replicator.Page{}, err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, mostRecords))
	if err != nil {
		return replicator.Page{}, err
	}
	var p page
	if err := cbor.Unmarshal(data, &p); err != nil {
		return replicator.Page{}, err
	}
	asOf := time.Now().Add(-time.Duration(p.Age) * time.Millisecond)
	return replicator.Page{Records: p.Records, End: p.End, AsOf: asOf, Whole: p.Whole}, nil
}
