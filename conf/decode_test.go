package conf

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rhubarbrack/codec"
)

const hash = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"

const entryText = `role: entry
host: edge-1
zone: gulf-a
region: gulf
listen:
  callers: 10.0.0.1:443
  peers: 10.0.0.1:7000
  metrics: 127.0.0.1:9100
control-hosts:
  - host: control-1
    address: 10.0.0.5:7000
platform-list: https://10.0.0.9/hosts
tls:
  callers: {certificate: /etc/rr/cert.pem, key: /etc/rr/key.pem}
  peers: {certificate: /etc/rr/cert.pem, key: /etc/rr/key.pem, authorities: /etc/rr/ca.pem}
limits:
  connections: 500
  idle-time: 30s
`

const controlText = `role: control
host: control-1
zone: gulf-a
region: gulf
data-directory: /var/lib/rhubarbrack
listen:
  peers: 10.0.0.5:7000
  operators: 10.0.0.5:7001
control-hosts:
  - host: control-1
    address: 10.0.0.5:7000
operator-tokens:
  - name: mira
    sha256: ` + hash + `
plain-text: allowed-beyond-loopback
`

// Guards against settings of an entry host that are ignored or decoded with the
// wrong meaning.
func TestDecodeEntry(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(entryText), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	callers, _ := s.ListenAddress(Callers)
	files, _ := s.TLSFiles(Peers)
	l := s.Limits()
	if s.Host() != "edge-1" || callers.String() != "10.0.0.1:443" || files.Authorities() != "/etc/rr/ca.pem" ||
		l.Connections() != 500 || l.IdleTime().String() != "30s" || l.HeaderBytes() != 32<<10 || s.PlainTextAllowed() {
		t.Errorf("got %+v", s)
	}
}

// Guards against settings of a control host that are ignored or decoded with the
// wrong meaning.
func TestDecodeControl(t *testing.T) {
	s, err := Decode([]byte(controlText))
	if err != nil {
		t.Fatal(err)
	}
	if s.OperatorTokens()[0].Name() != "mira" || s.OperatorTokens()[0].Hash()[0] != 0x2c || !s.PlainTextAllowed() ||
		s.ControlHosts()[0].Address().String() != "10.0.0.5:7000" {
		t.Errorf("got %+v", s)
	}
}

// Guards against invalid settings that are accepted: the process might listen in
// plain text, run under the name of another host, or fail to reach its control
// hosts. The errors must give line and field, and must not reveal a token.
func TestDecodeFaults(t *testing.T) {
	cases := []struct {
		name     string
		text     string
		old, new string
		line     int
		field    string
		allowed  string
	}{
		{"unknown field", entryText, "zone:", "zoen:", 3, "zoen", "one of the fields"},
		{"role", entryText, "role: entry", "role: edge", 1, "role", "entry or control"},
		{"host name for an address", entryText, "10.0.0.1:443", "localhost:443", 6, "listen.callers", "IP:port"},
		{"unspecified address", entryText, "10.0.0.1:443", "0.0.0.0:443", 6, "listen.callers", "not the unspecified"},
		{"port 0", entryText, "10.0.0.1:443", "10.0.0.1:0", 6, "listen.callers", "1 to 65535"},
		{"address used twice", entryText, "10.0.0.1:443", "10.0.0.1:7000", 7, "listen.peers", "no other listener"},
		{"plain text beyond loopback", entryText, "127.0.0.1:9100", "10.0.0.1:9100", 14, "tls.metrics", "TLS files"},
		{"plain platform list", entryText, "https:", "http:", 12, "platform-list", "https URL"},
		{"no platform list", entryText, "platform-list: https://10.0.0.9/hosts\n", "", 1, "platform-list", "a URL"},
		{"user in the platform list", entryText, "https://", "https://a:b@", 12, "platform-list", "without a user"},
		{"peers without authorities", entryText, ", authorities: /etc/rr/ca.pem", "", 15, "tls.peers.authorities", "peers need it"},
		{"relative path", entryText, "callers: {certificate: /etc", "callers: {certificate: etc", 14, "tls.callers.certificate", "absolute"},
		{"duration", entryText, "30s", "'30'", 18, "limits.idle-time", "with a unit"},
		{"limit", entryText, "500", "0", 17, "limits.connections", "from 1"},
		{"plain text as a flag", controlText, "allowed-beyond-loopback", "true", 15, "plain-text", "a text"},
		{"plain text in other words", controlText, "allowed-beyond-loopback", "yes", 15, "plain-text", "loopback-only or"},
		{"no data directory", controlText, "data-directory: /var/lib/rhubarbrack\n", "", 1, "data-directory", "absolute"},
		{"not among the control hosts", controlText, "host: control-1\nzone", "host: control-2\nzone", 10, "control-hosts", "holds this host"},
		{"replacement that is listed", controlText, "host: control-1\nzone", "replacement: true\nhost: control-1\nzone", 2, "replacement",
			"does not hold"},
		{"token in the clear", controlText, hash, "hunter2", 14, "operator-tokens[0].sha256", "64 hexadecimal"},
	}
	for _, c := range cases {
		if !strings.Contains(c.text, c.old) {
			t.Errorf("%s: the text lacks %q", c.name, c.old)
		}
		_, err := Decode([]byte(strings.Replace(c.text, c.old, c.new, 1)))
		var e *codec.DocumentError
		if !errors.As(err, &e) {
			t.Errorf("%s: got error %v, want a DocumentError", c.name, err)
			continue
		}
		f := e.Violations()[0]
		if f.Line() != c.line || f.Field() != c.field || !strings.Contains(f.Allowed(), c.allowed) {
			t.Errorf("%s: got %s", c.name, e)
		}
		if strings.Contains(err.Error(), "hunter2") {
			t.Errorf("%s: the error shows the token", c.name)
		}
	}
}
