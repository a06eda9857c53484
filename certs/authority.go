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
	// validBefore lets hosts whose clocks are behind accept a certificate.
	validBefore = time.Hour
	// validFor is the life of certificates for tests and trials.
	validFor = 30 * 24 * time.Hour
	// serialBits is the length of random serial numbers.
	serialBits = 120
	dirMode    = 0o700
)

// Authority is a certificate authority in memory, for tests and trials.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte
	now         time.Time
}

// KeyPair is a certificate with its key, and the authority's certificate.
type KeyPair struct {
	content material
}

// NewAuthority returns an authority whose certificates are valid from one
// hour before now for 30 days.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key of authority: %w", err)
	}
	template, err := newTemplate("rhubarbrack trial authority", now)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("make certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, encoded: encode("CERTIFICATE", der), now: now}, nil
}

// Issue returns a certificate for a host, usable by servers and clients.
// Addresses are IP addresses that the certificate names besides the host.
func (a *Authority) Issue(host ident.Host, addresses ...net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("make key of %s: %w", host, err)
	}
	template, err := newTemplate(string(host), a.now)
	if err != nil {
		return KeyPair{}, fmt.Errorf("make certificate of %s: %w", host, err)
	}
	template.DNSNames, template.IPAddresses = []string{string(host)}, addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("make certificate of %s: %w", host, err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode key of %s: %w", host, err)
	}
	return KeyPair{content: material{
		certificate: encode("CERTIFICATE", der), key: encode("PRIVATE KEY", encodedKey), authority: a.encoded,
	}}, nil
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-validBefore), NotAfter: now.Add(validFor),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Source returns a source of the pair that reads no files.
func (p KeyPair) Source(options ...Option) (*Source, error) {
	s, err := newSource(p.content, options)
	if err != nil {
		return nil, fmt.Errorf("use pair: %w", err)
	}
	s.fixed = true
	return s, nil
}

// Write writes the pair to the directory, which is made when it is missing,
// as NAME.pem, NAME-key.pem and authority.pem.
func (p KeyPair) Write(directory, name string) (Files, error) {
	if err := os.MkdirAll(directory, dirMode); err != nil {
		return Files{}, fmt.Errorf("write certificates: %w", err)
	}
	f := NewFiles(filepath.Join(directory, name+".pem"), filepath.Join(directory, name+"-key.pem"),
		filepath.Join(directory, "authority.pem"))
	parts := []struct {
		path    string
		content []byte
	}{{f.certificate, p.content.certificate}, {f.key, p.content.key}, {f.authority, p.content.authority}}
	for _, part := range parts {
		if err := replaceFile(part.path, part.content); err != nil {
			return Files{}, fmt.Errorf("write certificates: %w", err)
		}
	}
	return f, nil
}

// replaceFile puts content in place of a file at once, so that a process that
// reads the file meanwhile gets the old content or the new one.
func replaceFile(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return fmt.Errorf("make temporary file: %w", err)
	}
	_, err = file.Write(content)
	if closing := file.Close(); err == nil {
		err = closing
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
