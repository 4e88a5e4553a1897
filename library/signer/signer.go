// Package signer creates a certificate authority and certificates for TLS tests
// and for trials on loopback. They are short-lived, and the authority's key is not
// protected, so they must not be used in production.
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

// Error is the class of failures to create or write a certificate.
var Error = errs.Class("signer")

// File names that Issue writes.
const (
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
	AuthorityFile   = "authority.pem"
)

// authorityLifetime is the validity period of an authority's certificate.
const authorityLifetime = 24 * time.Hour

// A Signer is a certificate authority.
type Signer struct {
	root *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate, PEM-encoded.
	PEM []byte
}

// New returns a certificate authority with a new key.
func New() (*Signer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(authorityLifetime), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		Subject: pkix.Name{CommonName: "authority"},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	root, err := x509.ParseCertificate(der)
	return &Signer{root: root, key: key, PEM: encode("CERTIFICATE", der)}, Error.Wrap(err)
}

// Issue writes a certificate for server and client authentication at 127.0.0.1,
// its key and the authority's certificate to dir. The certificate expires after
// lifetime, which may be negative to produce an expired one.
func (s *Signer) Issue(dir string, serial int64, lifetime time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(lifetime),
		KeyUsage: x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, s.root, key.Public(), s.key)
	if err != nil {
		return Error.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	return errs.Combine(
		write(dir, CertificateFile, encode("CERTIFICATE", der)),
		write(dir, KeyFile, encode("PRIVATE KEY", keyDER)),
		write(dir, AuthorityFile, s.PEM),
	)
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func write(dir, name string, data []byte) error {
	return Error.Wrap(os.WriteFile(filepath.Join(dir, name), data, 0o600))
}
