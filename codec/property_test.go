package codec

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/vmihailenco/msgpack/v5"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

const documentSeed = 20260304

// ambiguousNames are valid names that look like other YAML values.
var ambiguousNames = []string{"1e3", "true", "null", "0x10", "1.5", "yes", "no", "on", "0", "007", "1-2", "2026-01-01", "a.b", "nan", "e", "1e-7"}

// randomDocument returns a valid document. Its names, numbers and paths are
// chosen to be difficult to encode.
func randomDocument(r *rand.Rand) (prof.Document, error) {
	name := ambiguousNames[r.Intn(len(ambiguousNames))]
	duration := func(maximum time.Duration) time.Duration {
		return time.Second + time.Duration(r.Int63n(int64(maximum-time.Second)))
	}
	fraction := func() float64 { return []float64{0, 1, r.Float64(), 1e-9, math.SmallestNonzeroFloat64}[r.Intn(5)] }
	switch r.Intn(4) {
	case 0:
		return prof.NewTeam(ident.Team(name), prof.MaxRate*math.Pow(r.Float64()+1e-3, 40), 1+r.Int63n(prof.MaxBurst))
	case 1:
		options := []prof.FleetOption{prof.WithRegion(ident.Region(name), "a", "b"), prof.WithRegion("other", "1e4")}
		for i := range r.Intn(5) {
			options = append(options, prof.WithBlock(fmt.Sprintf("10.%d.0.0/16", i), "1e4"), prof.WithBlock(fmt.Sprintf("2001:db8:%x::/48", i+1), "a"))
		}
		return prof.NewFleet(append(options, prof.WithLink(ident.Region(name), "other", 1+r.Int63(), math.MaxInt64))...)
	case 2:
		class := prof.NewClass(ident.Class(name), prof.ClassUrgent(r.Intn(2) == 0), prof.ClassQueueLength(r.Intn(100)), prof.ClassMaxWait(duration(prof.MaxWait)))
		return prof.NewProfile(name, prof.WithShift(fraction(), duration(prof.MaxShiftWindow)), prof.WithHeadroom(fraction()),
			prof.WithRetryBudget(fraction()), prof.WithRegions(ident.Region(name)), prof.WithClass(class), prof.WithClass(prof.NewClass("z")),
			prof.WithTeamPolicy(prof.NewTeamPolicy(ident.Team(name), prof.MinWeight+r.Float64(), "z")))
	}
	paths := []string{"/", "/a", "/a/b:c", "/a b", "/ü", "/'q'", "/\"d\"", "/#x", "/a#b", "/%41", "/{id}", "/[x]", "/~", "/a: b", "/a ", "/a/"}
	route := prof.NewRoute(paths[r.Intn(len(paths))], prof.Methods()[:1+r.Intn(7)], prof.RouteClass(ident.Class(name)),
		prof.RouteOpen(r.Intn(2) == 0), prof.RouteIdempotent(r.Intn(2) == 0))
	return prof.NewService(ident.Service(name), name, prof.WithHosts(name, "::1"), prof.WithRoute(route),
		prof.WithTimeout(duration(prof.MaxTimeout)), prof.WithMaxBodyBytes(r.Int63n(prof.MaxBodyBytes)), prof.WithSlowStart(duration(prof.MaxSlowStart)))
}

// Guards against documents that do not round-trip through YAML or msgpack,
// such as names that look like numbers and numbers that lose precision.
func TestDocumentRoundTrip(t *testing.T) {
	t.Logf("seed %d", documentSeed)
	parameters := gopter.DefaultTestParametersWithSeed(documentSeed)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("documents round-trip", prop.ForAll(func(seed int64) (bool, error) {
		document, err := randomDocument(rand.New(rand.NewSource(seed)))
		if err != nil {
			return false, err
		}
		text, err := EncodeDocument(document)
		if err != nil {
			return false, err
		}
		decoded, err := DecodeDocument(text)
		if err != nil || !reflect.DeepEqual(decoded, document) {
			return false, fmt.Errorf("%s\ngot %+v, %w", text, decoded, err)
		}
		command := state.Stamp(state.NewPutDocument("r", 1, document, string(text)), epoch)
		data, err := EncodeCommand(command)
		if err != nil {
			return false, err
		}
		received, err := DecodeCommand(data)
		if err != nil || !reflect.DeepEqual(received, command) {
			return false, fmt.Errorf("got %+v, %w, want %+v", received, err, command)
		}
		return true, nil
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against confusing data of an unsupported version, data of another
// kind and corrupt data. Readers handle these errors differently.
func TestRefusedBytes(t *testing.T) {
	encode := func(v int, kind string, record any) []byte {
		body, err := msgpack.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		data, err := msgpack.Marshal(&envelope{Version: v, Kind: kind, Body: body})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	command, err := EncodeCommand(state.NewLeave("edge-1", 4))
	if err != nil {
		t.Fatal(err)
	}
	var version *VersionError
	var kind *KindError
	var corrupt *CorruptError
	isVersion := func(err error) bool { return errors.As(err, &version) }
	isKind := func(err error) bool { return errors.As(err, &kind) }
	isCorrupt := func(err error) bool { return errors.As(err, &corrupt) }
	cases := []struct {
		name string
		data []byte
		want func(error) bool
	}{
		{"empty", nil, isCorrupt},
		{"cut", command[:len(command)-1], isCorrupt},
		{"followed by more", append(append([]byte(nil), command...), 0), isCorrupt},
		{"no record", encode(supportedVersion, "leave", &commandBody{}), isCorrupt},
		{"later version", encode(supportedVersion+1, "leave", &commandBody{}), isVersion},
		{"unknown kind", encode(supportedVersion, "lift", &commandBody{}), isKind},
		{"snapshot for a command", encode(supportedVersion, configKind, &configRecord{}), isKind},
	}
	for _, c := range cases {
		if _, err := DecodeCommand(c.data); !c.want(err) {
			t.Errorf("%s: got error %v", c.name, err)
		}
		if _, err := DecodeMachine(c.data); err == nil {
			t.Errorf("%s: read as a snapshot", c.name)
		}
	}
}

const supportedVersion = 1
