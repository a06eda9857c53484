package board

import (
	"log/slog"
	"time"

	"rhubarbrack/ident"
)

// Origin tells which call of an operator a command stands for. The zero Origin
// is unknown: hosts of earlier releases record none.
type Origin struct {
	order      ident.RequestID
	host       ident.Host
	receivedAt time.Time
}

// NewOrigin returns the origin of the command for an order that a host received
// at a time by its clock.
func NewOrigin(order ident.RequestID, host ident.Host, receivedAt time.Time) Origin {
	return Origin{order: order, host: host, receivedAt: receivedAt}
}

// Order returns the ID of the order, or "" if it is unknown.
func (o Origin) Order() ident.RequestID { return o.order }

// Host returns the host that received the order, or "" if it is unknown.
func (o Origin) Host() ident.Host { return o.host }

// ReceivedAt returns when the host received the order, or the zero time if that
// is unknown.
func (o Origin) ReceivedAt() time.Time { return o.receivedAt }

// LogValue implements slog.LogValuer.
func (o Origin) LogValue() slog.Value {
	if o.order == "" {
		return slog.StringValue("unknown")
	}
	return slog.GroupValue(slog.String("order", string(o.order)), slog.String("host", string(o.host)),
		slog.Time("received-at", o.receivedAt))
}

// addTo adds the origin to the record of a command.
func (o Origin) addTo(record commandRecord) commandRecord {
	if o.order != "" {
		record.Order, record.Host, record.ReceivedAt = string(o.order), string(o.host), o.receivedAt.UnixMilli()
	}
	return record
}

// origin returns the origin in the record of a command.
func (r commandRecord) origin() Origin {
	if r.Order == "" {
		return Origin{}
	}
	return NewOrigin(ident.RequestID(r.Order), ident.Host(r.Host), time.UnixMilli(r.ReceivedAt).UTC())
}
