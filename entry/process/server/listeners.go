package server

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heathervane/heathervane/entry/process/setter"
)

// watchTime bounds each request at the watch address.
const watchTime = 10 * time.Second

// listeners are the three addresses that a process listens on.
type listeners struct {
	callers, peers, watch net.Listener
	servers               []*http.Server
}

// open listens on all three, so that a taken port ends the start and not the
// first request.
func (s *listeners) open(c setter.Settings) error {
	var err error
	if s.callers, err = listen(c.Callers.Address); err != nil {
		return err
	}
	if s.peers, err = listen(c.Peers.Address); err != nil {
		return err
	}
	s.watch, err = listen(c.Watch.Address)
	return err
}

func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

// serve starts the three servers; the channel tells of one that ended early.
func (v *Server) serve(parts *sync.WaitGroup) <-chan error {
	callers := &http.Server{
		Handler: v.drainer, ReadHeaderTimeout: patience, IdleTimeout: idle,
		MaxHeaderBytes: int(v.settings.Limits.Header), TLSConfig: v.callersTLS,
	}
	peers := &http.Server{Handler: v.linker, ReadHeaderTimeout: patience, TLSConfig: v.peersTLS}
	watch := &http.Server{Handler: v.watcher, ReadTimeout: watchTime, WriteTimeout: watchTime}
	v.listeners.servers = []*http.Server{callers, peers, watch}
	failed := make(chan error, len(v.listeners.servers))
	for i, l := range []net.Listener{v.listeners.callers, v.listeners.peers, v.listeners.watch} {
		server := v.listeners.servers[i]
		// What net/http would print of single connections is counted elsewhere
		// or of no use: lines are for changes of state.
		server.ErrorLog = log.New(io.Discard, "", 0)
		parts.Go(func() {
			if err := serveOn(server, l); err != nil {
				failed <- err
			}
		})
	}
	return failed
}

func serveOn(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		l = tls.NewListener(l, s.TLSConfig)
	}
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close ends the servers: callers' connections without a request at once, and
// the others when theirs has ended.
func (v *Server) close(ctx context.Context) {
	for _, s := range v.listeners.servers {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
}
