package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/fetch"
	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// pieceTime is how long one piece may occupy the host's link.
	pieceTime = 50 * time.Millisecond
	// maxPieceBytes limits the pieces on fast links.
	maxPieceBytes = 64 << 10
	// progressInterval is the least time between two log lines on the progress
	// of a transfer.
	progressInterval = time.Second
)

// pieceBytes returns the size of the largest piece for a link with the given
// bytes per second. 0 stands for an unknown rate.
func pieceBytes(linkRate float64) int {
	if linkRate <= 0 {
		return maxPieceBytes
	}
	return min(int(linkRate*pieceTime.Seconds()), maxPieceBytes)
}

// The messages of the config fetcher.
type (
	// announceConfig reports the version that a control host has, and the
	// difference to the version of this host if it is small.
	announceConfig struct {
		address string
		version uint64
		isNear  bool
		change  ident.Option[patch.Piece]
	}
	// forgetPeer reports that a control host is no longer asked.
	forgetPeer struct{ address string }
	pieceDone  struct {
		order fetch.Order
		piece patch.Piece
		err   error
	}
	// configDecoded reports that a configuration was decoded, and whether it is
	// in force.
	configDecoded struct {
		version   uint64
		source    []byte
		isInForce bool
		// took is how long decoding and putting in force took.
		took time.Duration
		err  error
	}
)

// configFetcher is the task that brings an entry host's configuration up to
// date. It has connections of its own, so that heartbeats never wait behind a
// transfer.
type configFetcher struct {
	ctx      context.Context
	self     *tasks.Ref
	system   *tasks.System
	clock    clock.Clock
	log      *slog.Logger
	meter    Meter
	listener Listener
	// owner receives a configInForce message for each new configuration.
	owner    *tasks.Ref
	receiver *fetch.Receiver
	clients  map[string]*wire.Client
	// wireOptions apply to the clients.
	wireOptions []wire.Option
	// source is the configuration that the host has.
	source   []byte
	loggedAt time.Time
	// announced is the newest version that was announced, at announcedAt.
	announced   uint64
	announcedAt time.Time
}

var _ tasks.Task = (*configFetcher)(nil)

// startConfigFetcher starts the fetcher of a control client.
func startConfigFetcher(owner *controlClientTask, o clientOptions) (*tasks.Ref, error) {
	t := &configFetcher{
		ctx: owner.ctx, system: owner.system, clock: owner.clock, log: owner.log, meter: o.meter,
		listener: owner.listener, owner: owner.self, clients: map[string]*wire.Client{}, wireOptions: owner.wireOptions,
		receiver: fetch.NewReceiver(owner.heartbeat.Host, fetch.WithPieceBytes(pieceBytes(o.linkRate))),
	}
	ref, err := tasks.Spawn(t.ctx, t.system, "mesh-fetcher", t)
	if err != nil {
		return nil, fmt.Errorf("start config fetcher: %w", err)
	}
	t.self = ref
	return ref, nil
}

// Handle implements tasks.Task.
func (t *configFetcher) Handle(message any) {
	switch m := message.(type) {
	case announceConfig:
		if m.version > t.announced {
			t.announced, t.announcedAt = m.version, t.clock.Now()
		}
		t.receiver.Announce(m.address, m.version, m.isNear)
		if change, ok := m.change.Get(); ok {
			t.receiver.Offer(t.clock.Now(), m.address, change)
		}
	case forgetPeer:
		t.receiver.Forget(m.address)
		if c, ok := t.clients[m.address]; ok {
			c.Close()
			delete(t.clients, m.address)
		}
	case pieceDone:
		t.pieceDone(m)
	case configDecoded:
		t.configDecoded(m)
	}
	t.advance()
}

// advance decodes a complete configuration and requests missing pieces. It runs
// after each message, so that peers that have failed are tried again with the
// next heartbeat.
func (t *configFetcher) advance() {
	if encoded, ok := t.receiver.Complete(); ok {
		t.owner.Tell(configReceived{version: encoded.Version()})
		go t.decode(encoded, t.source)
		return
	}
	now := t.clock.Now()
	for _, order := range t.receiver.Next(now) {
		go t.fetchPiece(order, t.client(order.Peer()))
	}
	t.connectAhead(now)
	t.logProgress(now)
}

// connectAhead keeps the connection for the next transfer open. On a full link
// the opening packet can take longer than the transfer itself.
func (t *configFetcher) connectAhead(now time.Time) {
	address, ok := t.receiver.Preferred(now)
	if !ok {
		return
	}
	if c := t.client(address); c != nil {
		c.Connect()
	}
}

// client returns the client for transfers from a control host, or nil if it
// cannot start.
func (t *configFetcher) client(address string) *wire.Client {
	if c, ok := t.clients[address]; ok {
		return c
	}
	c, err := wire.StartClient(t.ctx, t.system, "fetch-"+address, address, t.wireOptions...)
	if err != nil {
		t.log.Error("mesh: cannot start a client", "address", address, "error", err)
		return nil
	}
	t.clients[address] = c
	return c
}

func (t *configFetcher) fetchPiece(order fetch.Order, client *wire.Client) {
	m := pieceDone{order: order}
	if client == nil {
		m.err = fmt.Errorf("fetch piece: %w", wire.ErrUnreachable)
		t.self.Tell(m)
		return
	}
	call, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	request, record := newPieceRequestRecord(order.Request()), PieceRecord{}
	m.err = client.Call(call, methodPiece, &request, &record)
	m.piece = record.piece()
	t.self.Tell(m)
}

func (t *configFetcher) pieceDone(m pieceDone) {
	now := t.clock.Now()
	if m.err == nil {
		t.meter.Count("config-piece", "", "", 1)
		t.receiver.Received(now, m.order, m.piece)
		return
	}
	t.meter.Count("config-piece-failed", "", "", 1)
	t.log.Warn("mesh: piece of a configuration not fetched", "peer", m.order.Peer(), "version", m.order.Request().Version(),
		"offset", m.order.Request().Offset(), "bytes", m.order.Request().Size(), "error", m.err)
	t.receiver.Failed(now, m.order)
}

// decode decodes a configuration and puts it in force. It runs in a goroutine
// of its own, because a large configuration takes a while.
func (t *configFetcher) decode(encoded fetch.Encoded, base []byte) {
	m, started := configDecoded{version: encoded.Version()}, t.clock.Now()
	m.source, m.err = encoded.Decode(base)
	if m.err == nil {
		err := t.listener.SetConfig(m.version, m.source)
		m.isInForce = err == nil
		if err != nil {
			// Another transfer would not help. The next version replaces it.
			t.log.Error("mesh: configuration cannot be put in force", "version", m.version, "error", err)
		}
	}
	m.took = t.clock.Now().Sub(started)
	t.self.Tell(m)
}

func (t *configFetcher) configDecoded(m configDecoded) {
	now := t.clock.Now()
	progress, _ := t.receiver.Progress()
	t.receiver.Finish(now, m.err == nil)
	if m.err != nil {
		t.log.Error("mesh: configuration is corrupt and is fetched anew", "version", m.version, "base", progress.Base(),
			"peer", progress.Peer(), "error", m.err)
		return
	}
	t.meter.Observe("config-transfer", "", "", now.Sub(progress.Started())-m.took)
	t.meter.Observe("config-decoding", "", "", m.took)
	t.source = m.source
	if !m.isInForce {
		return
	}
	t.owner.Tell(configInForce{version: m.version, source: m.source})
	announcedFor := now.Sub(t.announcedAt)
	if m.version == t.announced {
		t.meter.Observe("config-announced", "", "", announcedFor)
	}
	t.log.Info("mesh: configuration in force", "version", m.version, "base", progress.Base(), "peer", progress.Peer(),
		"sent-bytes", progress.Total(), "bytes", len(m.source), "took", now.Sub(progress.Started()).String(),
		"decoding", m.took.String(), "newest", t.announced, "announced-for", announcedFor.String())
}

// logProgress reports a transfer that takes long.
func (t *configFetcher) logProgress(now time.Time) {
	p, ok := t.receiver.Progress()
	if !ok || now.Sub(p.Started()) < progressInterval || now.Sub(t.loggedAt) < progressInterval {
		return
	}
	t.loggedAt = now
	t.log.Info("mesh: configuration on its way", "version", p.Version(), "base", p.Base(), "peer", p.Peer(),
		"received", p.Received(), "total", p.Total(), "age", now.Sub(p.Started()).String())
}
