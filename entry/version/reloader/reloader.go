// Package reloader loads the TLS certificates for one set of a VM's connections,
// with callers or with peer VMs, and reloads them when their files change, so that a
// renewed certificate takes effect without a restart. Established connections keep
// the certificate they were opened with. The package doesn't request or renew
// certificates.
package reloader

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/ticker"
)

// Error is the class of errors for certificates that can't be loaded or verified.
var Error = errs.Class("certificates")

// PollInterval is how often the files are checked for changes. Certificates are
// renewed days before they expire, so a short delay is harmless.
const PollInterval = 10 * time.Second

// Files holds the paths of the PEM files.
type Files struct {
	Certificate, Key string
	// Authority is the file of the certificate authority (CA). If it is set, both
	// ends of a connection must present a certificate signed by this CA.
	Authority string
}

// credentials holds the parsed contents of the last valid files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil if Files.Authority is empty
}

// A Reloader keeps the current certificates. The configurations it returns are safe
// for concurrent use.
type Reloader struct {
	files  Files
	now    func() time.Time
	logger zerolog.Logger
	stop   func()

	current atomic.Pointer[credentials]
	// lastContents holds the files as last read, valid or not, and lastInvalid reports
	// whether they were not. lastFailed reports whether the last reload failed.
	lastContents []byte
	lastInvalid  bool
	lastFailed   bool

	reloads, broken metrics.Counter
	expires         metrics.Gauge
}

// New loads the files and checks them for changes on every PollInterval of the
// ticker. The metrics are NAME.certificate.reloads, NAME.certificate.broken and
// NAME.certificate.expires (in Unix seconds), with the given name, such as callers.
func New(name string, files Files, t *ticker.Ticker, registry metrics.Registry, logger zerolog.Logger) (*Reloader, error) {
	r := &Reloader{
		files: files, now: t.Now,
		logger:  logger.With().Str("side", name).Logger(),
		reloads: metrics.GetOrRegisterCounter(name+".certificate.reloads", registry),
		broken:  metrics.GetOrRegisterCounter(name+".certificate.broken", registry),
		expires: metrics.GetOrRegisterGauge(name+".certificate.expires", registry),
	}
	data, err := r.readFiles()
	if err != nil {
		return nil, err
	}
	if err := r.apply(data); err != nil {
		return nil, err
	}
	r.stop = t.Subscribe(PollInterval, func(time.Time) { r.reload() })
	return r, nil
}

// Close stops checking for changes; the current certificates stay in use.
func (r *Reloader) Close() { r.stop() }

// fileContents holds the bytes of the three files.
type fileContents struct {
	certificate, key, authority []byte
}

func (c fileContents) joined() []byte {
	return bytes.Join([][]byte{c.certificate, c.key, c.authority}, []byte{0})
}

func (r *Reloader) readFiles() (fileContents, error) {
	var c fileContents
	for _, f := range []struct {
		path string
		dest *[]byte
	}{
		{r.files.Certificate, &c.certificate},
		{r.files.Key, &c.key},
		{r.files.Authority, &c.authority},
	} {
		if f.path == "" {
			continue
		}
		data, err := os.ReadFile(f.path)
		if err != nil {
			return fileContents{}, Error.Wrap(err)
		}
		*f.dest = data
	}
	return c, nil
}

// reload reads the files and applies them if they have changed. A certificate and
// its key are separate files that can't be replaced atomically, and a deployment
// pipeline may write an invalid one. Such a certificate would fail every new
// connection, so the previous one stays in use; the failure is counted and logged,
// and the files are applied once they change again.
func (r *Reloader) reload() {
	c, err := r.readFiles()
	if err == nil && bytes.Equal(c.joined(), r.lastContents) {
		// Files that could not be read for a while and are as before are no failure.
		r.lastFailed = r.lastInvalid
		return
	}
	if err == nil {
		err = r.apply(c)
		r.lastInvalid = err != nil
	}
	if err != nil {
		r.recordFailure(err)
		return
	}
	r.lastFailed = false
	r.reloads.Inc(1)
	r.logger.Info().Time("expires", r.current.Load().certificate.Leaf.NotAfter).Msg("certificates reloaded")
}

func (r *Reloader) recordFailure(err error) {
	r.broken.Inc(1)
	if !r.lastFailed {
		r.logger.Warn().Err(err).Msg("cannot load the new certificates; keeping the previous ones")
	}
	r.lastFailed = true
}

func (r *Reloader) apply(c fileContents) error {
	r.lastContents = c.joined()
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return Error.Wrap(err)
	}
	if r.now().After(certificate.Leaf.NotAfter) {
		return Error.New("%s expired on %s", r.files.Certificate, certificate.Leaf.NotAfter.Format(time.DateOnly))
	}
	p := credentials{certificate: certificate}
	if r.files.Authority != "" {
		p.authority = x509.NewCertPool()
		if !p.authority.AppendCertsFromPEM(c.authority) {
			return Error.New("%s contains no valid PEM certificate", r.files.Authority)
		}
	}
	r.current.Store(&p)
	r.expires.Update(certificate.Leaf.NotAfter.Unix())
	return nil
}

// ServerConfig returns the configuration for a listener. If Files.Authority is set,
// clients must present a certificate signed by that CA.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: r.protocols(), // net/http reads NextProtos from the outer configuration
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.current.Load().serverConfig(r.protocols()), nil
		},
	}
}

// protocols returns the ALPN protocols to offer. Connections between VMs use
// WebSocket, which needs HTTP/1.1.
func (r *Reloader) protocols() []string {
	if r.files.Authority != "" {
		return []string{"http/1.1"}
	}
	return []string{"h2", "http/1.1"}
}

func (p *credentials) serverConfig(protocols []string) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{p.certificate},
	}
	if p.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = p.authority
		// A resumed session would bypass verification against a CA that has
		// been replaced since.
		c.SessionTicketsDisabled = true
	}
	return c
}

// ClientConfig returns the configuration for connecting to other VMs. If
// Files.Authority is set, the server must present a certificate signed by that CA.
// The server name is not verified, because VMs are replaced under new addresses at
// any time and all VMs of a fleet are equivalent. Without Files.Authority, the
// system's CAs and the server name are verified as usual.
func (r *Reloader) ClientConfig() *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
	if r.files.Authority != "" {
		// crypto/tls can't replace RootCAs after the configuration is in use.
		// verifyServer performs the same verification except for the name.
		c.InsecureSkipVerify = true
		c.VerifyConnection = r.verifyServer
	}
	return c
}

func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("the server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: r.current.Load().authority, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return Error.Wrap(err)
}
