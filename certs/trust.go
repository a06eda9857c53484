package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// NewClientConfig returns a client configuration that trusts the authorities in a PEM
// file and presents no certificate of its own.
func NewClientConfig(authorities string) (*tls.Config, error) {
	data, err := os.ReadFile(authorities)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("file " + authorities + " holds no certificate")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}
