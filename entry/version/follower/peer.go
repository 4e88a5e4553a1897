package follower

import (
	"time"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// MaxSnapshotBytes is the maximum size of a snapshot. It equals the maximum size of a
// log record, because a snapshot is a checkpoint sent to a peer.
const MaxSnapshotBytes = 1 << 20

// ShouldFetch reports whether to fetch the state of a peer that has read up to read,
// the State().Read in its heartbeat. It does so if the peer is ahead and the log has
// returned nothing new for a second; without this delay, every change would be
// fetched from a peer as well as from the log. A VM that is starting fetches at once,
// because reading an hour of large manifests takes longer than loading the last one.
func (f *Follower) ShouldFetch(read uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.reader.State()
	if s == nil {
		return read > 0
	}
	if read <= s.LastOffset || !f.caughtUp {
		return read > s.LastOffset
	}
	if f.behind.read != s.LastOffset || f.behind.since.IsZero() {
		f.behind.read, f.behind.since = s.LastOffset, now
	}
	return now.Sub(f.behind.since) >= peerFetchDelay
}

// Snapshot returns the encoded current state for a peer that is behind.
func (f *Follower) Snapshot() ([]byte, error) {
	s := f.state.Load()
	if s == nil {
		return nil, Error.New("no configuration loaded")
	}
	data, err := recorder.Wrap(recorder.KindCheckpoint, folder.NewCheckpoint(*s))
	return data, Error.Wrap(err)
}

// ApplySnapshot applies a peer's snapshot if it is ahead of the current state, and
// reports whether it did. It validates the manifest again, so that a faulty peer
// can't apply a manifest that the log would have refused. A snapshot that is not
// ahead is ignored: a delayed or duplicate message must not roll the VM back.
func (f *Follower) ApplySnapshot(data []byte) (bool, error) {
	if len(data) > MaxSnapshotBytes {
		return false, Error.New("snapshot is %d bytes, at most %d allowed", len(data), MaxSnapshotBytes)
	}
	c, err := recorder.Unwrap[recorder.Checkpoint](data)
	if err != nil {
		return false, Error.Wrap(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.reader.State(); s != nil && (c.LastOffset <= s.LastOffset || c.Version < s.Version) {
		return false, nil
	}
	s, err := folder.Restore(c)
	if err != nil {
		return false, Error.Wrap(err)
	}
	f.counts.adopted.Inc(1)
	f.logger.Info().Uint64("version", s.Version).Uint64("read", s.LastOffset).Msg("configuration restored from a peer")
	f.caughtUp = true
	f.reader.SetState(s)
	f.publish(true)
	return true, nil
}
