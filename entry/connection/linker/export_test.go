package linker

// Dispatch gives a message to its handler as if it came from a peer.
func Dispatch(l *Linker, data []byte) error { return l.dispatch(Peer{VM: "b"}, data) }
