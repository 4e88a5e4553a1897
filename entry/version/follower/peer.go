package follower

import (
	"time"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// MaxSnapshotBytes is the longest snapshot in bytes. It is a record's length, since
// a snapshot is a checkpoint that goes to a peer.
const MaxSnapshotBytes = 1 << 20

// ShouldFetch says whether a peer's state should be asked for: the peer has read
// further, and for a second the log has brought this VM nothing. Heartbeats
// carry State().Read for it. Asked at once, every change would be fetched from
// a peer as well as from the log. A VM that starts does ask at once: to read an
// hour of large manifests takes longer than to take up the last of them.
func (f *Follower) ShouldFetch(read uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.reader.State()
	if s == nil {
		return read > 0
	}
	if read <= s.LastOffset || !f.caught {
		return read > s.LastOffset
	}
	if f.stuck.read != s.LastOffset || f.stuck.since.IsZero() {
		f.stuck.read, f.stuck.since = s.LastOffset, now
	}
	return now.Sub(f.stuck.since) >= lag
}

// Snapshot is the state in force for a peer that is behind.
func (f *Follower) Snapshot() ([]byte, error) {
	s := f.state.Load()
	if s == nil {
		return nil, Error.New("no state in force")
	}
	data, err := recorder.Wrap(recorder.KindCheckpoint, folder.NewCheckpoint(*s))
	return data, Error.Wrap(err)
}

// ApplySnapshot takes a peer's snapshot where it is ahead of the state in force, and
// says whether it did. The manifest in it is read again, so that a broken peer
// can't put in force what the log would not have. A snapshot that is not ahead
// changes nothing: a late or doubled message must not take a VM back.
func (f *Follower) ApplySnapshot(data []byte) (bool, error) {
	if len(data) > MaxSnapshotBytes {
		return false, Error.New("a snapshot of %d bytes, at most %d", len(data), MaxSnapshotBytes)
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
	f.logger.Info().Uint64("version", s.Version).Uint64("read", s.LastOffset).Msg("configuration taken from a peer")
	f.caught = true
	f.reader.SetState(s)
	f.publish(true)
	return true, nil
}
