package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// NewClientConfig returns a TLS configuration for clients that trust the
// authorities in a PEM file and present no certificate.
func NewClientConfig(authorityFile string) (*tls.Config, error) {
	data, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("file " + authorityFile + " holds no certificate")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
