package server

import (
	"github.com/heathervane/heathervane/entry/process/setter"
	"github.com/heathervane/heathervane/entry/version/reloader"
)

// setUpTLS configures TLS for callers and between VMs where the settings name
// certificates. Renewed files are reloaded without a restart.
func (v *Server) setUpTLS(s setter.Settings) error {
	if s.Callers.Certificate != "" {
		files := reloader.Files{Certificate: s.Callers.Certificate, Key: s.Callers.Key}
		r, err := reloader.New("callers", files, v.ticker, v.meter.Registry(), v.log)
		if err != nil {
			return err
		}
		v.callersTLS = r.ServerConfig()
	}
	if s.Peers.Certificate != "" {
		files := reloader.Files{Certificate: s.Peers.Certificate, Key: s.Peers.Key, Authority: s.Peers.Authority}
		r, err := reloader.New("peers", files, v.ticker, v.meter.Registry(), v.log)
		if err != nil {
			return err
		}
		v.peersTLS, v.linksTLS = r.ServerConfig(), r.ClientConfig()
	}
	return nil
}
