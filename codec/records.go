package codec

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// The document records are used for both YAML and msgpack. Their YAML names
// are the field paths in the errors of package prof.

type fleetRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind    string         `yaml:"kind"`
	Name    string         `yaml:"name"`
	Regions []regionRecord `yaml:"regions"`
	Links   []linkRecord   `yaml:"links,omitempty"`
	Blocks  []blockRecord  `yaml:"client-blocks,omitempty"`
}

type regionRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name  string   `yaml:"name"`
	Zones []string `yaml:"zones"`
}

type linkRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	From     string `yaml:"from"`
	To       string `yaml:"to"`
	Forward  int64  `yaml:"forward-bytes-per-second"`
	Backward int64  `yaml:"backward-bytes-per-second"`
}

type blockRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Block string `yaml:"block"`
	Zone  string `yaml:"zone"`
}

type profileRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind     string             `yaml:"kind"`
	Name     string             `yaml:"name"`
	Shift    *shiftRecord       `yaml:"shift,omitempty"`
	Regions  []string           `yaml:"regions"`
	Headroom *float64           `yaml:"headroom,omitempty"`
	Budget   *float64           `yaml:"retry-budget,omitempty"`
	Classes  []classRecord      `yaml:"classes"`
	Teams    []teamPolicyRecord `yaml:"teams,omitempty"`
}

type shiftRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Cap    float64 `yaml:"cap"`
	Window string  `yaml:"window"`
}

type classRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Name   string `yaml:"name"`
	Urgent bool   `yaml:"urgent,omitempty"`
	Queue  *int   `yaml:"queue-length,omitempty"`
	Wait   string `yaml:"longest-wait,omitempty"`
}

type teamPolicyRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Team   string  `yaml:"team"`
	Weight float64 `yaml:"weight"`
	Class  string  `yaml:"class"`
}

type teamRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind  string  `yaml:"kind"`
	Name  string  `yaml:"name"`
	Rate  float64 `yaml:"rate"`
	Burst int64   `yaml:"burst"`
}

type serviceRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Kind    string        `yaml:"kind"`
	Name    string        `yaml:"name"`
	Profile string        `yaml:"profile"`
	Hosts   []string      `yaml:"hosts"`
	Timeout string        `yaml:"request-timeout,omitempty"`
	Body    *int64        `yaml:"largest-body,omitempty"`
	Ramp    string        `yaml:"cold-ramp,omitempty"`
	Routes  []routeRecord `yaml:"routes"`
}

type routeRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack through reflection

	Prefix     string   `yaml:"prefix"`
	Methods    []string `yaml:"methods"`
	Class      string   `yaml:"class,omitempty"`
	Open       bool     `yaml:"open,omitempty"`
	Idempotent bool     `yaml:"idempotent,omitempty"`
}

// documentRecord is the encoded form of a document.
type documentRecord interface {
	document() (prof.Document, error)
}

var (
	_ documentRecord = (*fleetRecord)(nil)
	_ documentRecord = (*profileRecord)(nil)
	_ documentRecord = (*teamRecord)(nil)
	_ documentRecord = (*serviceRecord)(nil)
)

func newDocumentRecord(kind string) (documentRecord, bool) {
	switch prof.Kind(kind) {
	case prof.KindFleet:
		return &fleetRecord{}, true
	case prof.KindProfile:
		return &profileRecord{}, true
	case prof.KindTeam:
		return &teamRecord{}, true
	case prof.KindService:
		return &serviceRecord{}, true
	}
	return nil, false
}

func documentRecordOf(document prof.Document) (documentRecord, error) {
	switch d := document.(type) {
	case *prof.Fleet:
		return fleetRecordOf(d), nil
	case *prof.Profile:
		return profileRecordOf(d), nil
	case *prof.Team:
		return &teamRecord{Kind: string(d.Kind()), Name: d.Name(), Rate: d.Rate(), Burst: d.Burst()}, nil
	case *prof.Service:
		return serviceRecordOf(d), nil
	}
	return nil, fmt.Errorf("%T is not a document", document)
}

func toStrings[T ~string](values []T) []string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, string(v))
	}
	return out
}

func fromStrings[T ~string](values []string) []T {
	out := make([]T, 0, len(values))
	for _, v := range values {
		out = append(out, T(v))
	}
	return out
}

const allowedDuration = "a duration with a unit, such as 250ms, 1.5s or 2m"

// parseDuration parses a duration. It returns the fallback for an empty text.
func parseDuration(field, text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, prof.NewFieldError(field, text, allowedDuration)
	}
	return d, nil
}

func fleetRecordOf(f *prof.Fleet) *fleetRecord {
	r := &fleetRecord{Kind: string(f.Kind()), Name: f.Name()}
	for _, region := range f.Regions() {
		r.Regions = append(r.Regions, regionRecord{Name: string(region.Name()), Zones: toStrings(region.Zones())})
	}
	for _, l := range f.Links() {
		r.Links = append(r.Links, linkRecord{From: string(l.From()), To: string(l.To()),
			Forward: l.Forward(), Backward: l.Backward()})
	}
	for _, b := range f.Blocks() {
		r.Blocks = append(r.Blocks, blockRecord{Block: b.CIDR(), Zone: string(b.Zone())})
	}
	return r
}

func (r *fleetRecord) document() (prof.Document, error) {
	if r.Name != prof.FleetName {
		return nil, prof.NewFieldError("name", r.Name, `"fleet"`)
	}
	options := make([]prof.FleetOption, 0, len(r.Regions)+len(r.Links)+len(r.Blocks))
	for _, region := range r.Regions {
		options = append(options, prof.WithRegion(ident.Region(region.Name), fromStrings[ident.Zone](region.Zones)...))
	}
	for _, l := range r.Links {
		options = append(options, prof.WithLink(ident.Region(l.From), ident.Region(l.To), l.Forward, l.Backward))
	}
	for _, b := range r.Blocks {
		options = append(options, prof.WithBlock(b.Block, ident.Zone(b.Zone)))
	}
	f, err := prof.NewFleet(options...)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return f, nil
}

func (r *teamRecord) document() (prof.Document, error) {
	t, err := prof.NewTeam(ident.Team(r.Name), r.Rate, r.Burst)
	if err != nil {
		return nil, fmt.Errorf("team: %w", err)
	}
	return t, nil
}
