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
	// GreetRecord is the report of an entry host.
	GreetRecord struct {
		Host    string
		Address string
		Zone    string
		Region  string
		Ready   bool
		// ReadyTag is that of the list of ready hosts which the host has.
		ReadyTag uint64
		// Needs and Counts are set towards the leader only.
		Needs  []NeedRecord
		Counts []CountRecord
	}
	// CountRecord is a number of requests under way at a target, and of sends
	// that ended lately.
	CountRecord struct {
		Target  string
		Running int
		Failed  int
		Served  int
	}
	// BorrowRecord asks for a token of a team's rate.
	BorrowRecord struct {
		Team  string
		Rate  float64
		Burst float64
		Span  time.Duration
	}
	// BorrowedRecord tells whether there was one.
	BorrowedRecord struct{ Granted bool }
	// ReadyRecord is an entry host that takes callers.
	ReadyRecord struct {
		Address string
		Zone    string
		Region  string
	}
	// NeedRecord is the demand of a team, see quota.Need.
	NeedRecord struct {
		Team  string
		Asked float64
		Taken float64
		Held  float64
	}
	// ShareRecord is a part of a team's rate that is lent to a host.
	ShareRecord struct {
		Team  string
		Share float64
	}
	// GreetedRecord is what a control host knows at that time.
	GreetedRecord struct {
		Controls []string
		Revision uint64
		Hosts    int
		HasList  bool
		ListTag  uint64
		ListAge  time.Duration
		// ReadyHosts is set when its tag is not the one of the report.
		ReadyTag   uint64
		ReadyHosts []ReadyRecord
		// Leads tells that this control host lends shares of rates.
		Leads  bool
		Shares []ShareRecord
		// Tight holds the teams that have used most of their limit.
		Tight []string
		// Others holds the counts of the other hosts at busy and at failing
		// targets.
		Others []CountRecord
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
	// HaveRecord asks for the list and names the one that the host has.
	HaveRecord struct{ Tag uint64 }
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
	// JoinedRecord names the control hosts.
	JoinedRecord struct{ Controls []string }
	// SubmitRecord carries an order to the leader.
	SubmitRecord struct{ Order []byte }
	// SubmittedRecord acknowledges an order.
	SubmittedRecord struct{ Revision uint64 }
)

func fromLedger(revision ident.Revision, l scheme.Ledger) StateRecord {
	r := StateRecord{Revision: uint64(revision), Version: l.Version(), Source: l.Source()}
	for _, z := range l.Evacuated() {
		r.Zones = append(r.Zones, string(z))
	}
	return r
}

func (r StateRecord) ledger() scheme.Ledger {
	zones := make([]ident.Zone, len(r.Zones))
	for i, z := range r.Zones {
		zones[i] = ident.Zone(z)
	}
	return scheme.NewLedger(r.Version, r.Source, zones)
}

// recordsOf returns the targets of a list, or those that have changed.
func recordsOf(r ListRecord) []Listed {
	list := make([]Listed, len(r.Targets))
	for i, t := range r.Targets {
		list[i] = NewListed(ident.Target(t.ID), ident.Service(t.Service), t.Address, ident.Zone(t.Zone), t.Slots,
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
