package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"rhubarbrack/ident"
)

const (
	// clockSkewAllowance backdates certificates for hosts whose clocks are slow.
	clockSkewAllowance = time.Hour
	// validity is how long certificates are valid from the time of the authority.
	validity = 30 * 24 * time.Hour
	// serialBits is the length of random serial numbers.
	serialBits = 120
	dirMode    = 0o700
)

// Authority is an in-memory certificate authority for tests and trials.
type Authority struct {
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
	now            time.Time
}

// KeyPair is a certificate and its private key, with the certificate of the
// authority that issued it.
type KeyPair struct {
	data pemData
}

// NewAuthority returns an authority whose own and issued certificates are valid
// from one hour before now until 30 days after now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	template, err := newTemplate("rhubarbrack trial authority", now)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, certificatePEM: encodePEM("CERTIFICATE", der), now: now}, nil
}

// Issue returns a certificate for a host, for use by servers and clients. The
// certificate is also valid for the given IP addresses.
func (a *Authority) Issue(host ident.Host, addresses ...net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key of %s: %w", host, err)
	}
	template, err := newTemplate(string(host), a.now)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate of %s: %w", host, err)
	}
	template.DNSNames, template.IPAddresses = []string{string(host)}, addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate of %s: %w", host, err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key of %s: %w", host, err)
	}
	return KeyPair{data: pemData{
		certificate: encodePEM("CERTIFICATE", der), key: encodePEM("PRIVATE KEY", encodedKey), authority: a.certificatePEM,
	}}, nil
}

// newTemplate returns a certificate template with a random serial number.
func newTemplate(commonName string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: commonName},
		NotBefore: now.Add(-clockSkewAllowance), NotAfter: now.Add(validity),
	}, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Source returns a source that serves the pair from memory and reads no files.
func (p KeyPair) Source(options ...Option) (*Source, error) {
	s, err := newSource(p.data, options)
	if err != nil {
		return nil, fmt.Errorf("use key pair: %w", err)
	}
	s.inMemory = true
	return s, nil
}

// Write writes the pair to the files NAME.pem, NAME-key.pem and authority.pem in
// the directory, which is created if it does not exist.
func (p KeyPair) Write(directory, name string) (Files, error) {
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return Files{}, fmt.Errorf("write certificates: %w", err)
	}
	f := NewFiles(filepath.Join(directory, name+".pem"), filepath.Join(directory, name+"-key.pem"),
		filepath.Join(directory, "authority.pem"))
	parts := []struct {
		path    string
		content []byte
	}{{f.certificate, p.data.certificate}, {f.key, p.data.key}, {f.authority, p.data.authority}}
	for _, part := range parts {
		if err := replaceFile(part.path, part.content); err != nil {
			return Files{}, fmt.Errorf("write certificates: %w", err)
		}
	}
	return f, nil
}

// replaceFile replaces the content of a file atomically, so that concurrent
// readers get either the old or the new content.
func replaceFile(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	_, err = file.Write(content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return nil
}
