// Package signer makes an authority and certificates for tests of TLS and for
// trials on loopback. They last for a short time, and nothing guards the key of
// the authority: it is not for a fleet that serves.
package signer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of failures to make or write a certificate.
var Error = errs.Class("signer")

// Names of the files that Issue writes.
const (
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
	AuthorityFile   = "authority.pem"
)

// lasting is how long an authority lasts.
const lasting = 24 * time.Hour

// A Signer is an authority.
type Signer struct {
	root *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's own certificate.
	PEM []byte
}

// New returns an authority with a key of its own.
func New() (*Signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	form := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(lasting), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		Subject: pkix.Name{CommonName: "authority"},
	}
	der, err := x509.CreateCertificate(rand.Reader, form, form, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	root, err := x509.ParseCertificate(der)
	return &Signer{root: root, key: key, PEM: encode("CERTIFICATE", der)}, Error.Wrap(err)
}

// Issue writes a certificate for server and client use at 127.0.0.1, its key
// and the authority into a folder. The certificate ends a time from now, which
// may be negative.
func (s *Signer) Issue(folder string, serial int64, lasts time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	form := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(lasts),
		KeyUsage: x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, form, s.root, key.Public(), s.key)
	if err != nil {
		return Error.Wrap(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	return errs.Combine(
		write(folder, CertificateFile, encode("CERTIFICATE", der)),
		write(folder, KeyFile, encode("PRIVATE KEY", secret)),
		write(folder, AuthorityFile, s.PEM),
	)
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func write(folder, name string, data []byte) error {
	return Error.Wrap(os.WriteFile(filepath.Join(folder, name), data, 0o600))
}
