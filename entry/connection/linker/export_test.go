package linker

// Dispatch passes a message to its handler as if a peer had sent it.
func Dispatch(l *Linker, data []byte) error { return l.dispatch(Peer{VM: "b"}, data) }
