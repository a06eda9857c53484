package conf

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// maxSettingsBytes limits the size of a settings file.
const maxSettingsBytes = 1 << 20

// The values of the field plain-text. They are words rather than a boolean, which
// is too easily set by mistake.
const (
	plainTextValueLoopback = "loopback-only"
	plainTextValueAllowed  = "allowed-beyond-loopback"
)

// record is the YAML form of Settings.
type record struct {
	Role      string           `yaml:"role"`
	Host      string           `yaml:"host"`
	Zone      string           `yaml:"zone"`
	Region    string           `yaml:"region"`
	Data      string           `yaml:"data-directory"`
	Listen    listenRecord     `yaml:"listen"`
	Controls  []controlRecord  `yaml:"control-hosts"`
	Platform  string           `yaml:"platform-list"`
	TLS       tlsRecord        `yaml:"tls"`
	Tokens    []operatorRecord `yaml:"operator-tokens"`
	Limits    limitsRecord     `yaml:"limits"`
	PlainText string           `yaml:"plain-text"`
	Replaces  bool             `yaml:"replacement"`
}

type listenRecord struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
	Metrics   string `yaml:"metrics"`
}

type controlRecord struct {
	Host    string `yaml:"host"`
	Address string `yaml:"address"`
}

type tlsRecord struct {
	Callers   *tlsFilesRecord `yaml:"callers"`
	Peers     *tlsFilesRecord `yaml:"peers"`
	Operators *tlsFilesRecord `yaml:"operators"`
	Metrics   *tlsFilesRecord `yaml:"metrics"`
}

type tlsFilesRecord struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authorities string `yaml:"authorities"`
}

type operatorRecord struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
}

type limitsRecord struct {
	Header      *int64 `yaml:"header-bytes"`
	Body        *int64 `yaml:"body-bytes"`
	Connections *int64 `yaml:"connections"`
	Idle        string `yaml:"idle-time"`
	HeaderTime  string `yaml:"header-time"`
}

// Load reads settings from a file.
func Load(path string) (settings *Settings, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); closeErr != nil && err == nil {
			settings, err = nil, fmt.Errorf("load settings: %w", closeErr)
		}
	}()
	data, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return nil, fmt.Errorf("load settings: %w", err)
	}
	settings, err = Decode(data)
	if err != nil {
		return nil, fmt.Errorf("load settings from %s: %w", path, err)
	}
	return settings, nil
}

// Decode reads settings from YAML. The error wraps a *codec.DocumentError.
func Decode(data []byte) (*Settings, error) {
	var r record
	source, err := codec.ReadYAML(data, maxSettingsBytes, &r)
	if err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	options, err := r.options()
	if err != nil {
		return nil, fmt.Errorf("decode settings: %w", source.WithPositions(err))
	}
	s, err := New(Role(r.Role), ident.Host(r.Host), options...)
	if err != nil {
		return nil, fmt.Errorf("decode settings: %w", source.WithPositions(err))
	}
	return s, nil
}

// options converts the record to options for New.
func (r *record) options() ([]Option, error) {
	out := []Option{
		WithLocation(ident.Zone(r.Zone), ident.Region(r.Region)), WithDataDirectory(r.Data), WithPlatformList(r.Platform),
	}
	var errs []error
	for _, decode := range []func() ([]Option, error){
		r.replacement, r.listeners, r.controlHosts, r.operatorTokens, r.limits, r.plainText, r.tlsFiles,
	} {
		options, err := decode()
		out = append(out, options...)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("fields: %w", err)
	}
	return out, nil
}

func (r *record) listeners() ([]Option, error) {
	var out []Option
	var errs []error
	texts := map[Listener]string{Callers: r.Listen.Callers, Peers: r.Listen.Peers,
		Operators: r.Listen.Operators, Metrics: r.Listen.Metrics}
	for _, listener := range Listeners() {
		text := texts[listener]
		if text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			errs = append(errs, prof.NewFieldError("listen."+string(listener), text, "an IP:port"))
			continue
		}
		out = append(out, WithListenAddress(listener, address))
	}
	return out, errors.Join(errs...)
}

func (r *record) controlHosts() ([]Option, error) {
	var out []Option
	var errs []error
	for i, h := range r.Controls {
		address, err := netip.ParseAddrPort(h.Address)
		if err != nil {
			errs = append(errs, prof.NewFieldError(fmt.Sprintf("control-hosts[%d].address", i), h.Address, "an IP:port"))
			continue
		}
		out = append(out, WithControlHosts(NewControlHost(ident.Host(h.Host), address)))
	}
	return out, errors.Join(errs...)
}

func (r *record) tlsFiles() ([]Option, error) {
	var out []Option
	records := map[Listener]*tlsFilesRecord{Callers: r.TLS.Callers, Peers: r.TLS.Peers,
		Operators: r.TLS.Operators, Metrics: r.TLS.Metrics}
	for _, listener := range Listeners() {
		if f := records[listener]; f != nil {
			out = append(out, WithTLS(listener, NewTLSFiles(f.Certificate, f.Key, f.Authorities)))
		}
	}
	return out, nil
}

func (r *record) operatorTokens() ([]Option, error) {
	var out []Option
	var errs []error
	for i, t := range r.Tokens {
		var hash [32]byte
		data, err := hex.DecodeString(t.SHA256)
		if err != nil || len(data) != len(hash) {
			// The error hides the value, which may be the token itself, entered by
			// mistake.
			errs = append(errs, prof.NewFieldError(fmt.Sprintf("operator-tokens[%d].sha256", i), "(hidden)",
				"a SHA-256 digest in 64 hexadecimal digits"))
			continue
		}
		copy(hash[:], data)
		out = append(out, WithOperatorTokens(NewOperatorToken(t.Name, hash)))
	}
	return out, errors.Join(errs...)
}

func (r *record) limits() ([]Option, error) {
	var options []LimitOption
	var errs []error
	for _, l := range []struct {
		value  *int64
		option func(int64) LimitOption
	}{
		{r.Limits.Header, LimitHeaderBytes}, {r.Limits.Body, LimitBodyBytes}, {r.Limits.Connections, LimitConnections},
	} {
		if l.value != nil {
			options = append(options, l.option(*l.value))
		}
	}
	for _, l := range []struct {
		field, text string
		option      func(time.Duration) LimitOption
	}{
		{"limits.idle-time", r.Limits.Idle, LimitIdleTime}, {"limits.header-time", r.Limits.HeaderTime, LimitHeaderTime},
	} {
		if l.text == "" {
			continue
		}
		d, err := time.ParseDuration(l.text)
		if err != nil {
			errs = append(errs, prof.NewFieldError(l.field, l.text, "a duration with a unit, such as 30s"))
			continue
		}
		options = append(options, l.option(d))
	}
	return []Option{WithLimits(NewLimits(options...))}, errors.Join(errs...)
}

func (r *record) replacement() ([]Option, error) {
	return []Option{WithReplacement(r.Replaces)}, nil
}

func (r *record) plainText() ([]Option, error) {
	switch r.PlainText {
	case "", plainTextValueLoopback:
		return nil, nil
	case plainTextValueAllowed:
		return []Option{WithPlainText(true)}, nil
	}
	return nil, prof.NewFieldError("plain-text", r.PlainText, plainTextValueLoopback+" or "+plainTextValueAllowed)
}
