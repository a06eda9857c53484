package oper

import (
	"time"
)

// OutcomeRecord is the JSON form of the outcome of a change.
type OutcomeRecord struct {
	Status   string `json:"status"`
	Revision uint64 `json:"revision,omitempty"`
	Resent   bool   `json:"resent,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Detail   string `json:"detail,omitempty"`
	// After a conflict, Current is the current revision of the object and
	// Source the current source text of a document.
	Current uint64 `json:"current-revision,omitempty"`
	Source  string `json:"current-source,omitempty"`
}

// ErrorRecord is the JSON form of an error response.
type ErrorRecord struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// DocumentRecord is the JSON form of a document.
type DocumentRecord struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Source   string `json:"source,omitempty"`
}

// VersionRecord is the JSON form of one version of a document.
type VersionRecord struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Request  string    `json:"request"`
	Deleted  bool      `json:"deleted,omitempty"`
	Source   string    `json:"source,omitempty"`
}

// KeyRecord is the JSON form of a key. A call to issue a key sets ID, Team and
// SHA256, the digest of the key; the key itself is never sent.
type KeyRecord struct {
	ID        string     `json:"id"`
	Team      string     `json:"team"`
	SHA256    string     `json:"sha256,omitempty"`
	Revision  uint64     `json:"revision,omitempty"`
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
}

// DrainRecord is the JSON form of a drain. Without Until, the drain lasts until
// it is cancelled.
type DrainRecord struct {
	ID       string     `json:"id"`
	Scope    string     `json:"scope"`
	Name     string     `json:"name"`
	From     time.Time  `json:"from"`
	Until    *time.Time `json:"until,omitempty"`
	State    string     `json:"state,omitempty"`
	Revision uint64     `json:"revision,omitempty"`
}

// ProgressRecord is the JSON form of the rollout progress of a revision. Behind
// lists the entry hosts that have not yet applied it.
type ProgressRecord struct {
	Revision uint64   `json:"revision"`
	InForce  bool     `json:"in-force"`
	Behind   []string `json:"behind"`
}

// StatusRecord is the JSON form of the state of the system.
type StatusRecord struct {
	Revision uint64              `json:"revision"`
	InForce  uint64              `json:"in-force"`
	Term     uint64              `json:"term"`
	Controls []ControlHostRecord `json:"control-hosts"`
	Entries  []EntryHostRecord   `json:"entry-hosts"`
	Roles    []RoleRecord        `json:"roles"`
	Shares   []SharesRecord      `json:"shares"`
	Drains   []DrainRecord       `json:"drains"`
	Suspects []SuspectRecord     `json:"suspects"`
}

// ControlHostRecord is the JSON form of a control host.
type ControlHostRecord struct {
	Host    string    `json:"host"`
	Address string    `json:"address"`
	Role    string    `json:"role"`
	Match   uint64    `json:"revision-on-disk"`
	Contact time.Time `json:"last-contact"`
}

// EntryHostRecord is the JSON form of an entry host.
type EntryHostRecord struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       string `json:"state"`
	Address     string `json:"address"`
	Applied     uint64 `json:"revision-applied"`
}

// RoleRecord is the JSON form of a role and its holder.
type RoleRecord struct {
	Role  string `json:"role"`
	Host  string `json:"host"`
	Epoch uint64 `json:"epoch"`
}

// SharesRecord is the JSON form of the planned distribution of the load that a
// service receives in the origin region. Shares maps each region to its fraction.
type SharesRecord struct {
	Service string             `json:"service"`
	Origin  string             `json:"origin"`
	Shares  map[string]float64 `json:"shares"`
	At      time.Time          `json:"at"`
}

// SuspectRecord is the JSON form of a request suspected of crashing targets.
type SuspectRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Until       time.Time `json:"until"`
}

// EventRecord is the JSON form of an automatic change, which the leader made
// without a call of an operator.
type EventRecord struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail"`
	Reason string    `json:"reason"`
	Error  string    `json:"error,omitempty"`
}

// AddControlHostRecord is the JSON form of a call to add a control host.
type AddControlHostRecord struct {
	Address string `json:"address"`
}

// ExplainRecord is the JSON form of a request and the steps of its handling.
type ExplainRecord struct {
	Request   string       `json:"request"`
	Method    string       `json:"method"`
	Path      string       `json:"path"`
	Service   string       `json:"service,omitempty"`
	Team      string       `json:"team,omitempty"`
	Class     string       `json:"class,omitempty"`
	Target    string       `json:"target,omitempty"`
	Outcome   string       `json:"outcome"`
	Reason    string       `json:"reason,omitempty"`
	Detail    string       `json:"detail,omitempty"`
	Began     time.Time    `json:"began"`
	LatencyMS float64      `json:"latency-ms"`
	Steps     []StepRecord `json:"steps"`
}

// StepRecord is the JSON form of one step of request handling. AfterMS is the
// time since the request was received.
type StepRecord struct {
	AfterMS float64 `json:"after-ms"`
	Step    string  `json:"step"`
	Detail  string  `json:"detail,omitempty"`
}
