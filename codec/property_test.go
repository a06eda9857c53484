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

// awkward names look like other YAML values.
var awkward = []string{"1e3", "true", "null", "0x10", "1.5", "yes", "no", "on", "0", "007", "1-2", "2026-01-01", "a.b", "nan", "e", "1e-7"}

func randomDocument(r *rand.Rand) (prof.Document, error) {
	name := awkward[r.Intn(len(awkward))]
	duration := func(most time.Duration) time.Duration {
		return time.Second + time.Duration(r.Int63n(int64(most-time.Second)))
	}
	share := func() float64 { return []float64{0, 1, r.Float64(), 1e-9, math.SmallestNonzeroFloat64}[r.Intn(5)] }
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
		return prof.NewProfile(name, prof.WithShift(share(), duration(prof.MaxShiftWindow)), prof.WithHeadroom(share()),
			prof.WithRetryBudget(share()), prof.WithRegions(ident.Region(name)), prof.WithClass(class), prof.WithClass(prof.NewClass("z")),
			prof.WithTeamPolicy(prof.NewTeamPolicy(ident.Team(name), prof.MinWeight+r.Float64(), "z")))
	}
	paths := []string{"/", "/a", "/a/b:c", "/a b", "/ü", "/'q'", "/\"d\"", "/#x", "/a#b", "/%41", "/{id}", "/[x]", "/~", "/a: b", "/a ", "/a/"}
	route := prof.NewRoute(paths[r.Intn(len(paths))], prof.Methods()[:1+r.Intn(7)], prof.RouteClass(ident.Class(name)),
		prof.RouteOpen(r.Intn(2) == 0), prof.RouteIdempotent(r.Intn(2) == 0))
	return prof.NewService(ident.Service(name), name, prof.WithHosts(name, "::1"), prof.WithRoute(route),
		prof.WithTimeout(duration(prof.MaxTimeout)), prof.WithMaxBodyBytes(r.Int63n(prof.MaxBodyBytes)), prof.WithSlowStart(duration(prof.MaxSlowStart)))
}

// A name that looks like a number, or a number that YAML cuts, must come back
// as it was, from YAML and from msgpack.
func TestDocumentsSurvive(t *testing.T) {
	t.Logf("seed %d", documentSeed)
	parameters := gopter.DefaultTestParametersWithSeed(documentSeed)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("documents survive", prop.ForAll(func(seed int64) (bool, error) {
		document, err := randomDocument(rand.New(rand.NewSource(seed)))
		if err != nil {
			return false, err
		}
		text, err := EncodeDocument(document)
		if err != nil {
			return false, err
		}
		again, err := DecodeDocument(text)
		if err != nil || !reflect.DeepEqual(again, document) {
			return false, fmt.Errorf("%s\ngot %+v, %w", text, again, err)
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

// Bytes of another program version, of another kind or with damage must be
// told apart, as the reader acts on each in another way.
func TestRefusedBytes(t *testing.T) {
	sealed := func(v int, kind string, record any) []byte {
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
		{"no record", sealed(version1, "leave", &commandBody{}), isCorrupt},
		{"later version", sealed(version1+1, "leave", &commandBody{}), isVersion},
		{"unknown kind", sealed(version1, "lift", &commandBody{}), isKind},
		{"snapshot for a command", sealed(version1, configKind, &configRecord{}), isKind},
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

const version1 = 1
