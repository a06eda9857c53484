package codec

import (
	"embed"
	"fmt"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// sampleFiles holds the sample documents. The order of the file names puts
// each document after those that it refers to.
//
//go:embed samples/*.yaml
var sampleFiles embed.FS

// SourceDocument is a decoded document with its source text.
type SourceDocument struct {
	document prof.Document
	source   string
}

// Document returns the decoded document.
func (d SourceDocument) Document() prof.Document { return d.document }

// Source returns the YAML source text.
func (d SourceDocument) Source() string { return d.source }

// Samples returns a set of sample documents: the regions gulf, bay and coast
// with two zones each, the services alerts, bells, charts and schedules with
// the host names "<service>.test", the profile signals and eight teams. Each
// document comes after those that it refers to.
func Samples() ([]SourceDocument, error) {
	files, err := sampleFiles.ReadDir("samples")
	if err != nil {
		return nil, fmt.Errorf("samples: %w", err)
	}
	out := make([]SourceDocument, 0, len(files))
	for _, f := range files {
		data, err := sampleFiles.ReadFile("samples/" + f.Name())
		if err != nil {
			return nil, fmt.Errorf("samples: %w", err)
		}
		document, err := DecodeDocument(data)
		if err != nil {
			return nil, fmt.Errorf("sample %s: %w", f.Name(), err)
		}
		out = append(out, SourceDocument{document: document, source: string(data)})
	}
	return out, nil
}

// SampleConfig returns a Config that holds the documents of Samples, put at
// the given time. Its revision is the number of documents.
func SampleConfig(at time.Time) (*state.Config, error) {
	samples, err := Samples()
	if err != nil {
		return nil, fmt.Errorf("sample config: %w", err)
	}
	config := state.NewConfig()
	for i, s := range samples {
		request := ident.RequestID(fmt.Sprintf("sample-%d", i))
		command := state.Stamp(state.NewPutDocument(request, 0, s.document, s.source), at)
		config, err = state.Replay(config, ident.Revision(i+1), command)
		if err != nil {
			return nil, fmt.Errorf("sample config: %w", err)
		}
	}
	return config, nil
}
