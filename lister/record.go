package lister

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// Errors of a poll, to be matched with errors.Is.
const (
	// ErrTooLarge means that the response exceeds the size limit.
	ErrTooLarge = errors.ConstError("list exceeds the size limit")
	// ErrMalformed means that the response is not a valid list.
	ErrMalformed = errors.ConstError("list is malformed")
	// ErrStatus means that the platform returned an unexpected HTTP status.
	ErrStatus = errors.ConstError("platform returned an unexpected status")
)

// ListRecord is the JSON form of the list.
type ListRecord struct {
	Hosts []TargetRecord `json:"hosts"`
}

// TargetRecord is the JSON form of a Target.
type TargetRecord struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// NewListRecord returns the JSON form of the targets.
func NewListRecord(targets []Target) ListRecord {
	r := ListRecord{Hosts: make([]TargetRecord, 0, len(targets))}
	for _, t := range targets {
		r.Hosts = append(r.Hosts, TargetRecord{
			ID: string(t.id), Service: string(t.service), Address: t.Address(),
			Zone: string(t.zone), Region: string(t.region), Slots: t.slots, State: string(t.state),
		})
	}
	return r
}

// Decode decodes a list of at most limit bytes. Unknown fields, duplicate IDs,
// invalid entries and trailing data are errors, since a partially decoded list
// would steer requests to the wrong targets.
func Decode(r io.Reader, limit int64) ([]Target, error) {
	bounded := &io.LimitedReader{R: r, N: limit + 1}
	decoder := json.NewDecoder(bounded)
	decoder.DisallowUnknownFields()
	var record ListRecord
	err := decoder.Decode(&record)
	if err == nil {
		err = checkEnd(decoder)
	}
	if bounded.N <= 0 {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decodeTargets(record)
}

// checkEnd returns an error if anything but white space follows.
func checkEnd(decoder *json.Decoder) error {
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("data after the list: %w", ErrMalformed)
	}
	return nil
}

func decodeTargets(record ListRecord) ([]Target, error) {
	if record.Hosts == nil {
		return nil, fmt.Errorf("%w: field \"hosts\" is missing", ErrMalformed)
	}
	targets := make([]Target, 0, len(record.Hosts))
	seen := make(map[string]struct{}, len(record.Hosts))
	for _, h := range record.Hosts {
		if _, ok := seen[h.ID]; ok {
			return nil, fmt.Errorf("%w: duplicate id %q", ErrMalformed, h.ID)
		}
		seen[h.ID] = struct{}{}
		t, err := NewTarget(ident.Target(h.ID), ident.Service(h.Service), h.Address, ident.Zone(h.Zone),
			ident.Region(h.Region), h.Slots, State(h.State))
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		targets = append(targets, t)
	}
	return targets, nil
}
