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

// watchTimeout bounds reading and writing for each request at the watch
// address.
const watchTimeout = 10 * time.Second

// listeners holds the three listeners of a process and the servers on them.
type listeners struct {
	callers, peers, watch net.Listener
	servers               []*http.Server
}

// open listens on all three addresses, so that a port in use fails the start
// rather than the first request.
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

// serve starts the three servers. The returned channel receives the error of a
// server that fails.
func (v *Server) serve(wg *sync.WaitGroup) <-chan error {
	callers := &http.Server{
		Handler: v.drainer, ReadHeaderTimeout: requestReadTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: int(v.settings.Limits.Header), TLSConfig: v.callersTLS,
	}
	peers := &http.Server{Handler: v.linker, ReadHeaderTimeout: requestReadTimeout, TLSConfig: v.peersTLS}
	watch := &http.Server{Handler: v.watcher, ReadTimeout: watchTimeout, WriteTimeout: watchTimeout}
	v.listeners.servers = []*http.Server{callers, peers, watch}
	failed := make(chan error, len(v.listeners.servers))
	for i, l := range []net.Listener{v.listeners.callers, v.listeners.peers, v.listeners.watch} {
		server := v.listeners.servers[i]
		// Discards net/http's messages about single connections, which are
		// counted elsewhere or of no use: the log is for changes of state.
		server.ErrorLog = log.New(io.Discard, "", 0)
		wg.Go(func() {
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

// close shuts the servers down: idle connections are closed at once, others
// when their request ends. When ctx ends, the rest are closed too.
func (v *Server) close(ctx context.Context) {
	for _, s := range v.listeners.servers {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
}
