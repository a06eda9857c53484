package stand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/tasks"
)

// PathHosts is the path of a Platform's list.
const PathHosts = "/hosts"

// Platform is a stand-in of the platform's list of targets. Changes show up
// after the set lag.
type Platform struct {
	clock  clock.Clock
	server *server
	board  *tasks.Ref
	cancel context.CancelFunc
	done   chan struct{}
}

// StartPlatform starts a stand-in that listens when it returns. It ends with
// ctx or by Close.
func StartPlatform(ctx context.Context, system *tasks.System, options ...Option) (*Platform, error) {
	s := newSettings(options)
	ctx, cancel := context.WithCancel(ctx)
	first := version{at: s.clock.Now().Add(-s.lag), targets: slices.Clone(s.targets)}
	board, err := tasks.Spawn(ctx, system, "stand-platform", &board{settings: s, versions: []version{first}})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	p := &Platform{clock: s.clock, board: board, cancel: cancel, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHosts, p.hosts)
	if p.server, err = startServer(s.address, mux); err != nil {
		cancel()
		<-board.Done()
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	go func() {
		defer close(p.done)
		<-ctx.Done()
		p.server.kill()
		<-board.Done()
	}()
	return p, nil
}

// URL returns the URL of the list.
func (p *Platform) URL() string { return "http://" + p.server.address + PathHosts }

// Set replaces the list.
func (p *Platform) Set(targets ...lister.Target) {
	p.board.Tell(setTargets{at: p.clock.Now(), targets: slices.Clone(targets)})
}

// SetState changes the state of one target.
func (p *Platform) SetState(id ident.Target, s lister.State) {
	p.board.Tell(setState{at: p.clock.Now(), id: id, state: s})
}

// SetLag sets how long the list lags behind its changes.
func (p *Platform) SetLag(d time.Duration) { p.board.Tell(setLag{lag: d}) }

// SetFault makes the platform answer with an error status. Zero restores the
// list.
func (p *Platform) SetFault(status int) { p.board.Tell(setFault{status: status}) }

// Close ends the platform at once.
func (p *Platform) Close() {
	p.cancel()
	<-p.done
}

// Done returns a channel that is closed when the platform has ended.
func (p *Platform) Done() <-chan struct{} { return p.done }

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	a, err := tasks.Ask(r.Context(), p.board, func(reply tasks.Reply[shown]) any { return askShown{reply: reply} })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if a.fault != 0 {
		http.Error(w, "platform fault", a.fault)
		return
	}
	body, err := json.Marshal(lister.NewListRecord(a.targets))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(body)
	etag := `"` + hex.EncodeToString(sum[:8]) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// The messages of a board.
type (
	// Changes carry the time at which they were made.
	setTargets struct {
		at      time.Time
		targets []lister.Target
	}
	setState struct {
		at    time.Time
		id    ident.Target
		state lister.State
	}
	setLag   struct{ lag time.Duration }
	setFault struct{ status int }
	askShown struct{ reply tasks.Reply[shown] }
)

// shown is what the list shows now.
type shown struct {
	fault   int
	targets []lister.Target
}

// version is the list from a moment on.
type version struct {
	at      time.Time
	targets []lister.Target
}

// board is the task that owns the versions of the list.
type board struct {
	settings
	fault    int
	versions []version
}

var _ tasks.Task = (*board)(nil)

// Handle implements tasks.Task.
func (b *board) Handle(message any) {
	switch m := message.(type) {
	case setTargets:
		b.append(m.at, m.targets)
	case setState:
		next := slices.Clone(b.versions[len(b.versions)-1].targets)
		for i, t := range next {
			if t.ID() == m.id {
				next[i] = t.WithState(m.state)
			}
		}
		b.append(m.at, next)
	case setLag:
		b.lag = m.lag
	case setFault:
		b.fault = m.status
	case askShown:
		m.reply.Send(shown{fault: b.fault, targets: b.visible()})
	}
}

func (b *board) append(at time.Time, targets []lister.Target) {
	b.versions = append(b.versions, version{at: at, targets: targets})
}

// visible returns the newest version that is at least as old as the lag, and
// forgets the versions before it.
func (b *board) visible() []lister.Target {
	as := b.clock.Now().Add(-b.lag)
	newest := 0
	for i, v := range b.versions {
		if !v.at.After(as) {
			newest = i
		}
	}
	b.versions = b.versions[newest:]
	return b.versions[0].targets
}
