package mesh

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// The names of the net/rpc service and its methods.
const (
	serviceName        = "Mesh"
	methodHeartbeat    = serviceName + ".Greet"
	methodPiece        = serviceName + ".Piece"
	methodTargets      = serviceName + ".Targets"
	methodJoin         = serviceName + ".Join"
	methodLeave        = serviceName + ".Leave"
	methodSubmit       = serviceName + ".Submit"
	methodSubmitPacked = serviceName + ".SubmitPacked"
	methodRead         = serviceName + ".ReadSince"
	methodRequestToken = serviceName + ".Borrow"
)

// The records below are encoded for net/rpc. Durations are in nanoseconds.
type (
	// HeartbeatRecord is the heartbeat of an entry host.
	HeartbeatRecord struct {
		Host    string
		Address string
		Zone    string
		Region  string
		Ready   bool
		// ReadyTag identifies the list of ready hosts that the sender has from
		// the receiver, and ReadyTags those that it has from all control hosts.
		ReadyTag  uint64
		ReadyTags []uint64
		// ListTag identifies the list of targets that the sender has. TakesList
		// tells that it takes changes of the list with the reply.
		ListTag   uint64
		TakesList bool
		// Version is that of the newest configuration that the sender has
		// received, or 0.
		Version uint64
		// Needs and Counts are sent to the leader only.
		Needs  []DemandRecord
		Counts []TargetStatsRecord
		// Suspects is sent to the leader only. SuspectsTag identifies what the
		// sender has from the receiver.
		Suspects    []SuspectRecord
		SuspectsTag uint64
	}
	// TargetStatsRecord holds the in-flight requests at a target, and the
	// recent results of attempts.
	TargetStatsRecord struct {
		Target  string
		Running int
		Failed  int
		Served  int
		// Limit is set if the target has a rate limit, or had one a short time
		// ago.
		Limit *LimitRecord
	}
	// LimitRecord is what an entry host knows of a target's rate limit, see
	// spread.LimitReport. A rate of 0 stands for no limit.
	LimitRecord struct {
		Rate   float64
		Age    time.Duration
		Wanted float64
	}
	// TokenRequestRecord requests a token of a team's rate.
	TokenRequestRecord struct {
		Team  string
		Rate  float64
		Burst float64
		Span  time.Duration
	}
	// TokenReplyRecord tells whether the token was granted.
	TokenReplyRecord struct{ Granted bool }
	// ReadyHostRecord is an entry host that accepts callers.
	ReadyHostRecord struct {
		Address string
		Zone    string
		Region  string
	}
	// ReturnedZoneRecord is a zone whose evacuation ended at the revision, Age
	// ago.
	ReturnedZoneRecord struct {
		Zone     string
		Revision uint64
		Age      time.Duration
	}
	// DemandRecord is the demand of a team, see quota.Demand.
	DemandRecord struct {
		Team  string
		Asked float64
		Taken float64
		Held  float64
	}
	// LeaseRecord is a share of a team's rate that is leased to a host.
	LeaseRecord struct {
		Team  string
		Share float64
	}
	// HeartbeatReplyRecord is the reply of a control host to a heartbeat.
	HeartbeatReplyRecord struct {
		Controls []string
		// Region is the region of the control host.
		Region string
		// Version is that of the configuration, and Zones are the evacuated
		// zones, at the revision. Control hosts of earlier releases send only
		// the revision, without HasState.
		Revision uint64
		HasState bool
		Version  uint64
		// Change is the difference of that configuration to the one of the
		// heartbeat, if it is small.
		Change *PieceRecord
		Zones  []string
		// Returned holds the zones whose evacuation ended a short time ago.
		Returned []ReturnedZoneRecord
		Hosts    int
		HasList  bool
		ListTag  uint64
		ListAge  time.Duration
		// List holds the changes since the list of the heartbeat, if they are
		// small.
		List *ListRecord
		// ReadyHosts is only set if ReadyTag differs from that of the
		// heartbeat. If ReadyBase is set, it holds only the hosts that were
		// added to the list with that tag, and ReadyGone the removed ones.
		ReadyTag   uint64
		ReadyBase  uint64
		ReadyHosts []ReadyHostRecord
		ReadyGone  []string
		// Leads tells that this control host leads and grants leases.
		Leads  bool
		Shares []LeaseRecord
		// Tight holds the teams near their limit.
		Tight []string
		// Others holds the stats of the other hosts at busy and at failing
		// targets. If the sender has a list of targets that the receiver knows,
		// Loads holds them instead, see encodeLoads, with the tag of that list.
		Others   []TargetStatsRecord
		Loads    []byte
		LoadsTag uint64
		// Limits holds the rate limits of targets and the shares of the receiver,
		// see encodeLimits. It refers to the list with the tag LoadsTag.
		Limits []byte
		// Suspects is sent by the leader only, if SuspectsTag differs from that
		// of the heartbeat.
		Suspects    []SuspectRecord
		SuspectsTag uint64
		// At is when the control host replied, in Unix microseconds of its own
		// clock. Control hosts of earlier releases send 0.
		At int64
	}
	// EmptyRecord is a request without parameters.
	EmptyRecord struct{}
	// ReadRecord requests the desired state and names the version of the
	// configuration that the sender has. TakesPacked tells that it decodes a
	// packed source, which hosts of earlier releases do not.
	ReadRecord struct {
		Version     uint64
		TakesPacked bool
	}
	// PieceRequestRecord requests a piece of a configuration, see
	// patch.Request.
	PieceRequestRecord struct {
		Version uint64
		Base    uint64
		Offset  int
		Size    int
	}
	// PieceRecord is a piece of a configuration, see patch.Piece.
	PieceRecord struct {
		Version  uint64
		Base     uint64
		Digest   patch.Digest
		Encoding uint64
		Total    int
		Offset   int
		Data     []byte
		Checksum uint64
	}
	// StateRecord holds the desired state. In the reply to a ReadRecord with
	// the same version, the source is empty. If Packed is set, it holds the
	// source, and Digest is that of the source.
	StateRecord struct {
		Revision uint64
		Version  uint64
		Source   []byte
		Zones    []string
		Packed   []byte
		Digest   patch.Digest
	}
	// JoinRecord requests to become a member of the replicated log.
	JoinRecord struct {
		Host    string
		Address string
	}
	// JoinReplyRecord lists the control hosts.
	JoinReplyRecord struct{ Controls []string }
	// LeaveRecord tells the leader that a control host is about to stop.
	LeaveRecord struct{ Host string }
	// LeaveReplyRecord tells whether the host is no longer a member.
	LeaveReplyRecord struct{ Removed bool }
	// SubmitRecord carries a command to the leader. A conditional order for a zone
	// has no effect if another one was accepted after the revision AsOf. Leaders of
	// earlier releases ignore the condition.
	SubmitRecord struct {
		Order       []byte
		Conditional bool
		AsOf        uint64
	}
	// PackedSubmitRecord carries a packed command and the digest of the command.
	PackedSubmitRecord struct {
		Packed []byte
		Digest patch.Digest
	}
	// SubmitReplyRecord acknowledges a command, or tells that a conditional order
	// had no effect.
	SubmitReplyRecord struct {
		Revision   uint64
		Superseded bool
	}
)

func newSubmitRecord(command []byte, asOf ident.Option[ident.Revision]) *SubmitRecord {
	revision, conditional := asOf.Get()
	return &SubmitRecord{Order: command, Conditional: conditional, AsOf: uint64(revision)}
}

// asOf returns the revision that the command is conditional on.
func (r SubmitRecord) asOf() ident.Option[ident.Revision] {
	if !r.Conditional {
		return ident.None[ident.Revision]()
	}
	return ident.Some(ident.Revision(r.AsOf))
}

func newPieceRequestRecord(r patch.Request) PieceRequestRecord {
	return PieceRequestRecord{Version: r.Version(), Base: r.Base(), Offset: r.Offset(), Size: r.Size()}
}

func (r PieceRequestRecord) request() patch.Request {
	return patch.NewRequest(r.Version, r.Base, r.Offset, r.Size)
}

func newPieceRecord(p patch.Piece) PieceRecord {
	return PieceRecord{
		Version: p.Version(), Base: p.Base(), Digest: p.Digest(), Encoding: p.Encoding(), Total: p.Total(),
		Offset: p.Offset(), Data: p.Data(), Checksum: p.Checksum(),
	}
}

func (r PieceRecord) piece() patch.Piece {
	return patch.NewPiece(r.Version, r.Base, r.Digest, r.Encoding, r.Total, r.Offset, r.Data).WithChecksum(r.Checksum)
}

// change returns the difference that was sent along, if there is one.
func (r HeartbeatReplyRecord) change() ident.Option[patch.Piece] {
	if r.Change == nil {
		return ident.None[patch.Piece]()
	}
	return ident.Some(r.Change.piece())
}

func newTargetStatsRecord(s spread.TargetStats) TargetStatsRecord {
	record := TargetStatsRecord{
		Target: string(s.Target()), Running: s.InFlight(), Failed: s.Failed(), Served: s.Served(),
	}
	if l, ok := s.Limit().Get(); ok {
		rate, _ := l.Limit().Rate()
		record.Limit = &LimitRecord{Rate: rate, Age: l.Age(), Wanted: l.Wanted()}
	}
	return record
}

// rateLimit returns the limit of the record.
func (r LimitRecord) rateLimit() spread.RateLimit {
	if r.Rate == 0 {
		return spread.RateLimit{}
	}
	return spread.NewRateLimit(r.Rate)
}

// zoneNames returns the zones as strings.
func zoneNames(zones []ident.Zone) []string {
	var names []string
	for _, z := range zones {
		names = append(names, string(z))
	}
	return names
}

// zonesOf returns the zones with the given names.
func zonesOf(names []string) []ident.Zone {
	zones := make([]ident.Zone, len(names))
	for i, n := range names {
		zones[i] = ident.Zone(n)
	}
	return zones
}

func newStateRecord(revision ident.Revision, s scheme.DesiredState) StateRecord {
	return StateRecord{
		Revision: uint64(revision), Version: s.Version(), Source: s.Source(), Zones: zoneNames(s.Evacuated()),
	}
}

func (r StateRecord) desiredState() scheme.DesiredState {
	return scheme.NewDesiredState(r.Version, r.Source, zonesOf(r.Zones))
}
