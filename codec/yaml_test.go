package codec

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// Guards against invalid sample documents, which tests of other packages use.
func TestSamples(t *testing.T) {
	config, err := SampleConfig(epoch)
	if err != nil {
		t.Fatal(err)
	}
	fleet, _ := config.Fleet()
	zones := 0
	for _, r := range fleet.Regions() {
		zones += len(r.Zones())
	}
	got := []int{len(fleet.Regions()), zones, len(config.Services()), len(config.Teams())}
	if want := []int{3, 6, 4, 8}; !reflect.DeepEqual(got, want) {
		t.Errorf("regions, zones, services, teams: got %v, want %v", got, want)
	}
}

// Guards against a document that changes when an operator reads it and submits
// it unchanged.
func TestSampleRoundTrip(t *testing.T) {
	samples, err := Samples()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range samples {
		data, err := EncodeDocument(s.Document())
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeDocument(data)
		if err != nil {
			t.Fatalf("%s: %v\n%s", s.Document().Name(), err, data)
		}
		if !reflect.DeepEqual(decoded, s.Document()) {
			t.Errorf("%s: got %+v, want %+v", s.Document().Name(), decoded, s.Document())
		}
	}
}

const teamText = "kind: team\nname: pilots\nrate: 5\nburst: 10\n"

// Guards against an invalid document that is accepted or reported at the wrong
// position. A misread document would silently change how requests are routed.
func TestDocumentViolations(t *testing.T) {
	cases := []struct {
		name         string
		text         string
		line, column int
		field, value string
		allowed      string
	}{
		{"unknown field", teamText + "brust: 4\n", 5, 1, "brust", "brust", "one of the fields kind, name, rate, burst"},
		{"fraction for a whole number", "kind: team\nname: pilots\nrate: 5\nburst: 1.5\n", 4, 8, "burst", "1.5", "a whole number"},
		{"text for a number", "kind: team\nname: pilots\nrate: '5'\nburst: 1\n", 3, 7, "rate", "5", "a number"},
		{"not a number", "kind: team\nname: pilots\nrate: .nan\nburst: 1\n", 3, 7, "rate", ".nan", "a number"},
		{"number for a text", "kind: team\nname: 5\nrate: 5\nburst: 1\n", 2, 7, "name", "5", "a text"},
		{"null", "kind: team\nname: pilots\nrate: 5\nburst: null\n", 4, 8, "burst", "null", "a whole number"},
		{"value out of range", "kind: team\nname: pilots\nrate: 0\nburst: 1\n", 3, 7, "rate", "0", "above 0"},
		{"missing field", "kind: team\nname: pilots\nburst: 1\n", 1, 1, "rate", "0", "above 0"},
		{"overflow", "kind: team\nname: pilots\nrate: 5\nburst: 99999999999999999999\n", 4, 8, "burst", "9999", "a whole number"},
		{"overflow by one", "kind: team\nname: pilots\nrate: 5\nburst: 9223372036854775808\n", 4, 8, "", "9223372036854775808", "overflow"},
		{"unknown kind", "kind: tame\nname: x\n", 1, 7, "kind", "tame", "one of fleet, team, profile, service"},
		{"no kind", "name: x\n", 1, 1, "kind", "", "one of fleet"},
		{"duplicate field", teamText + "rate: 6\n", 5, 1, "", "rate", "already defined"},
		{"two documents", teamText + "---\n" + teamText, 1, 1, "", "", "exactly one YAML document"},
		{"empty", "", 1, 1, "", "", "exactly one YAML document"},
		{"not a map", "- kind\n", 1, 1, "kind", "", "one of fleet"},
		{"alias", "kind: &a team\nname: *a\n", 1, 7, "", "&", "no anchors"},
		{"merge key", "<<: {kind: team}\n", 1, 1, "", "<<", "no merge keys"},
		{"tag", "kind: !!str team\n", 1, 7, "", "!!str", "no tags"},
		{"deep flow", strings.Repeat("[", 1000), 1, 16, "", "[", "at most 16 levels"},
		{"deep list", strings.Repeat("- ", 1000), 1, 31, "", "-", "at most 16 levels"},
		{"too long", strings.Repeat(" ", MaxDocumentBytes+1), 1, 1, "", "4194305 bytes", "at most 4194304 bytes"},
		{"unclosed quote", "kind: \"team\n", 1, 7, "", "", "valid YAML"},
		{"element of a list", "kind: fleet\nname: fleet\nregions:\n  - name: gulf\n    zones: [gulf-a]\nlinks:\n  - from: gulf\n    to: bey\n    forward-bytes-per-second: 1\n    backward-bytes-per-second: 1\n",
			8, 9, "links[0].to", "bey", "a region of this document"},
		{"number in a list of texts", "kind: fleet\nname: fleet\nregions:\n  - name: gulf\n    zones: [a, 5]\n", 5, 16, "regions[0].zones[1]", "5", "a text"},
		{"unknown field in a list", "kind: fleet\nname: fleet\nregions:\n  - name: gulf\n    zone: a\n", 5, 5, "regions[0].zone", "zone", "name, zones"},
		{"duration without unit", "kind: profile\nname: p\nregions: [gulf]\nclasses:\n  - name: a\n    longest-wait: '5'\n",
			6, 19, "classes[0].longest-wait", "5", "a duration with a unit"},
	}
	for _, c := range cases {
		_, err := DecodeDocument([]byte(c.text))
		var e *DocumentError
		if !errors.As(err, &e) {
			t.Errorf("%s: got error %v, want a DocumentError", c.name, err)
			continue
		}
		v := e.Violations()[0]
		if v.Line() != c.line || v.Column() != c.column || v.Field() != c.field ||
			!strings.Contains(v.Value(), c.value) || !strings.Contains(v.Allowed(), c.allowed) {
			t.Errorf("%s: got %s", c.name, v)
		}
	}
}
