package mesh

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// Names of the calls.
const (
	serviceName   = "Mesh"
	methodGreet   = serviceName + ".Greet"
	methodFetch   = serviceName + ".Fetch"
	methodTargets = serviceName + ".Targets"
	methodJoin    = serviceName + ".Join"
	methodSubmit  = serviceName + ".Submit"
	methodRead    = serviceName + ".Read"
	methodBorrow  = serviceName + ".Borrow"
)

// The records below cross the wire. Durations are in nanoseconds.
type (
	// HeartbeatRecord is the report of an entry host.
	HeartbeatRecord struct {
		Host    string
		Address string
		Zone    string
		Region  string
		Ready   bool
		// ReadyTag is that of the list of ready hosts which the host has.
		ReadyTag uint64
		// Needs and Counts are set towards the leader only.
		Needs  []DemandRecord
		Counts []TargetStatsRecord
	}
	// TargetStatsRecord is a number of requests under way at a target, and of sends
	// that ended lately.
	TargetStatsRecord struct {
		Target  string
		Running int
		Failed  int
		Served  int
	}
	// TokenRequestRecord asks for a token of a team's rate.
	TokenRequestRecord struct {
		Team  string
		Rate  float64
		Burst float64
		Span  time.Duration
	}
	// TokenReplyRecord tells whether there was one.
	TokenReplyRecord struct{ Granted bool }
	// ReadyHostRecord is an entry host that takes callers.
	ReadyHostRecord struct {
		Address string
		Zone    string
		Region  string
	}
	// DemandRecord is the demand of a team, see quota.Need.
	DemandRecord struct {
		Team  string
		Asked float64
		Taken float64
		Held  float64
	}
	// LeaseRecord is a part of a team's rate that is lent to a host.
	LeaseRecord struct {
		Team  string
		Share float64
	}
	// HeartbeatReplyRecord is what a control host knows at that time.
	HeartbeatReplyRecord struct {
		Controls []string
		Revision uint64
		Hosts    int
		HasList  bool
		ListTag  uint64
		ListAge  time.Duration
		// ReadyHosts is set when its tag is not the one of the report.
		ReadyTag   uint64
		ReadyHosts []ReadyHostRecord
		// Leads tells that this control host lends shares of rates.
		Leads  bool
		Shares []LeaseRecord
		// Tight holds the teams that have used most of their limit.
		Tight []string
		// Others holds the counts of the other hosts at busy and at failing
		// targets.
		Others []TargetStatsRecord
	}
	// EmptyRecord asks without parameters.
	EmptyRecord struct{}
	// StateRecord holds the operators' orders.
	StateRecord struct {
		Revision uint64
		Version  uint64
		Source   []byte
		Zones    []string
	}
	// TargetRecord is a target of the list. Cold is how much longer it stays
	// cold, as of the reading of the list.
	TargetRecord struct {
		ID       string
		Service  string
		Address  string
		Zone     string
		Slots    int
		Draining bool
		Cold     time.Duration
	}
	// ListRequestRecord asks for the list and names the one that the host has.
	ListRequestRecord struct{ Tag uint64 }
	// ListRecord is the list of targets. With a base it holds only what has
	// changed since the list of that tag, and the targets that are gone.
	ListRecord struct {
		HasList bool
		Tag     uint64
		Base    uint64
		Age     time.Duration
		Targets []TargetRecord
		Gone    []string
	}
	// JoinRecord asks to become a member of the replicated log.
	JoinRecord struct {
		Host    string
		Address string
	}
	// JoinReplyRecord names the control hosts.
	JoinReplyRecord struct{ Controls []string }
	// SubmitRecord carries an order to the leader.
	SubmitRecord struct{ Order []byte }
	// SubmitReplyRecord acknowledges an order.
	SubmitReplyRecord struct{ Revision uint64 }
)

func fromLedger(revision ident.Revision, l scheme.DesiredState) StateRecord {
	r := StateRecord{Revision: uint64(revision), Version: l.Version(), Source: l.Source()}
	for _, z := range l.Evacuated() {
		r.Zones = append(r.Zones, string(z))
	}
	return r
}

func (r StateRecord) ledger() scheme.DesiredState {
	zones := make([]ident.Zone, len(r.Zones))
	for i, z := range r.Zones {
		zones[i] = ident.Zone(z)
	}
	return scheme.NewDesiredState(r.Version, r.Source, zones)
}

// recordsOf returns the targets of a list, or those that have changed.
func recordsOf(r ListRecord) []ListedTarget {
	list := make([]ListedTarget, len(r.Targets))
	for i, t := range r.Targets {
		list[i] = NewListedTarget(ident.Target(t.ID), ident.Service(t.Service), t.Address, ident.Zone(t.Zone), t.Slots,
			t.Draining, t.Cold)
	}
	return list
}

// gonesOf returns the targets that are gone.
func gonesOf(r ListRecord) []ident.Target {
	list := make([]ident.Target, len(r.Gone))
	for i, id := range r.Gone {
		list[i] = ident.Target(id)
	}
	return list
}
