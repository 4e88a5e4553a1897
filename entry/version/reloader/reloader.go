// Package reloader holds the certificates of one side of a VM, callers' or
// peers', and reads them again when their files change, so that a renewed
// certificate needs no restart. Connections that stand keep the certificate
// that they began with. It gets no certificates by itself.
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

// Error is the class of certificates that can't be used.
var Error = errs.Class("certificates")

// PollInterval is how often the files are looked at. A certificate is renewed days
// before it ends, so that this is soon enough.
const PollInterval = 10 * time.Second

// Files are the PEM files of one side.
type Files struct {
	Certificate, Key string
	// Authority, where it is not empty, has each end of a connection show a
	// certificate that the authority has signed.
	Authority string
}

// pair is what the files held when they could last be used.
type pair struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil where the files name none
}

// A Reloader keeps the certificates of one side. Its configurations are safe
// for concurrent use.
type Reloader struct {
	files  Files
	now    func() time.Time
	logger zerolog.Logger
	stop   func()

	current atomic.Pointer[pair]
	// seen is what the files held when they were last read, good or not, and
	// failing says that the last look found nothing to use.
	seen    []byte
	failing bool

	reloads, broken metrics.Counter
	expires         metrics.Gauge
}

// New reads the files, and looks at them again on the ticker. The name of the
// side, such as callers, begins the names of its metrics: NAME.certificate.
// followed by reloads, broken, and expires in Unix seconds.
func New(name string, files Files, t *ticker.Ticker, registry metrics.Registry, logger zerolog.Logger) (*Reloader, error) {
	r := &Reloader{
		files: files, now: t.Now,
		logger:  logger.With().Str("side", name).Logger(),
		reloads: metrics.GetOrRegisterCounter(name+".certificate.reloads", registry),
		broken:  metrics.GetOrRegisterCounter(name+".certificate.broken", registry),
		expires: metrics.GetOrRegisterGauge(name+".certificate.expires", registry),
	}
	data, err := r.read()
	if err != nil {
		return nil, err
	}
	if err := r.use(data); err != nil {
		return nil, err
	}
	r.stop = t.Subscribe(PollInterval, func(time.Time) { r.look() })
	return r, nil
}

// Close ends the looking; the last certificates stay in use.
func (r *Reloader) Close() { r.stop() }

// contents are the bytes of the three files.
type contents struct {
	certificate, key, authority []byte
}

func (c contents) joined() []byte {
	return bytes.Join([][]byte{c.certificate, c.key, c.authority}, []byte{0})
}

func (r *Reloader) read() (contents, error) {
	var c contents
	for _, f := range []struct {
		path string
		into *[]byte
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
			return contents{}, Error.Wrap(err)
		}
		*f.into = data
	}
	return c, nil
}

// look reads the files and uses them where they have changed. A certificate and
// its key are two files, which can't be replaced at one moment, and a pipeline
// may write a broken one. Put in use, it would fail every new connection; the
// one before stays, the counter and a line tell, and the next look tries again
// once the files have changed.
func (r *Reloader) look() {
	c, err := r.read()
	if err == nil && bytes.Equal(c.joined(), r.seen) {
		return
	}
	if err == nil {
		err = r.use(c)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.failing = false
	r.reloads.Inc(1)
	r.logger.Info().Time("expires", r.current.Load().certificate.Leaf.NotAfter).Msg("certificates reloaded")
}

func (r *Reloader) fail(err error) {
	r.broken.Inc(1)
	if !r.failing {
		r.logger.Warn().Err(err).Msg("new certificates can't be used; the old ones stay")
	}
	r.failing = true
}

func (r *Reloader) use(c contents) error {
	r.seen = c.joined()
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return Error.Wrap(err)
	}
	if r.now().After(certificate.Leaf.NotAfter) {
		return Error.New("%s has expired on %s", r.files.Certificate, certificate.Leaf.NotAfter.Format(time.DateOnly))
	}
	p := pair{certificate: certificate}
	if r.files.Authority != "" {
		p.authority = x509.NewCertPool()
		if !p.authority.AppendCertsFromPEM(c.authority) {
			return Error.New("%s holds no certificate", r.files.Authority)
		}
	}
	r.current.Store(&p)
	r.expires.Update(certificate.Leaf.NotAfter.Unix())
	return nil
}

// ServerConfig is the configuration to listen with. With an authority, callers
// without a certificate that it has signed are turned away.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: r.protocols(), // net/http looks for them here
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.current.Load().server(r.protocols()), nil
		},
	}
}

// protocols are those offered; between VMs, WebSocket needs HTTP/1.1.
func (r *Reloader) protocols() []string {
	if r.files.Authority != "" {
		return []string{"http/1.1"}
	}
	return []string{"h2", "http/1.1"}
}

func (p *pair) server(protocols []string) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{p.certificate},
	}
	if p.authority != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = p.authority
		// A resumed session would pass by an authority that has been
		// replaced since.
		c.SessionTicketsDisabled = true
	}
	return c
}

// ClientConfig is the configuration to dial other VMs with. With an authority, the
// other end must show a certificate that it has signed; its name is not
// compared, since VMs are replaced under new addresses at any time and all of
// one fleet are equal. Without one, the system's authorities and the name in
// the certificate decide.
func (r *Reloader) ClientConfig() *tls.Config {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
	if r.files.Authority != "" {
		// The library's own check can't take another authority later on;
		// verify does all of it but the name.
		c.InsecureSkipVerify = true
		c.VerifyConnection = r.verify
	}
	return c
}

func (r *Reloader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return Error.New("the other end shows no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: r.current.Load().authority, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return Error.Wrap(err)
}
