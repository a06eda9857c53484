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

// PathHosts is the path of the list of a Platform.
const PathHosts = "/hosts"

// Platform is a stand-in of the platform that lists the targets. Changes appear
// in the list after the configured lag.
type Platform struct {
	clock  clock.Clock
	server *httpServer
	task   *tasks.Ref
	cancel context.CancelFunc
	done   chan struct{}
}

// StartPlatform starts a stand-in, which accepts requests when StartPlatform
// returns. It stops when ctx ends or Close is called.
func StartPlatform(ctx context.Context, system *tasks.System, options ...Option) (*Platform, error) {
	s := newSettings(options)
	ctx, cancel := context.WithCancel(ctx)
	initial := listVersion{at: s.clock.Now().Add(-s.lag), targets: slices.Clone(s.targets)}
	task, err := tasks.Spawn(ctx, system, "stand-platform", &listTask{settings: s, versions: []listVersion{initial}})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	p := &Platform{clock: s.clock, task: task, cancel: cancel, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHosts, p.serveList)
	if p.server, err = startHTTPServer(s.address, mux); err != nil {
		cancel()
		<-task.Done()
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	go func() {
		defer close(p.done)
		<-ctx.Done()
		p.server.close()
		<-task.Done()
	}()
	return p, nil
}

// URL returns the URL of the list.
func (p *Platform) URL() string { return "http://" + p.server.address + PathHosts }

// Set replaces the list.
func (p *Platform) Set(targets ...lister.Target) {
	p.task.Tell(setTargets{at: p.clock.Now(), targets: slices.Clone(targets)})
}

// SetState changes the state of one target in the list.
func (p *Platform) SetState(id ident.Target, state lister.State) {
	p.task.Tell(setState{at: p.clock.Now(), id: id, state: state})
}

// SetLag sets the delay after which changes appear in the list.
func (p *Platform) SetLag(d time.Duration) { p.task.Tell(setLag{lag: d}) }

// SetFault makes the platform respond with an error status. Zero restores the
// list.
func (p *Platform) SetFault(status int) { p.task.Tell(setFault{status: status}) }

// Close stops the platform immediately and waits until it has stopped.
func (p *Platform) Close() {
	p.cancel()
	<-p.done
}

// Done returns a channel that is closed when the platform has stopped.
func (p *Platform) Done() <-chan struct{} { return p.done }

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	list, err := tasks.Ask(r.Context(), p.task, func(reply tasks.Reply[visibleList]) any { return listRequest{reply: reply} })
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if list.fault != 0 {
		http.Error(w, "platform fault", list.fault)
		return
	}
	body, err := json.Marshal(lister.NewListRecord(list.targets))
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

// The messages of a listTask.
type (
	// setTargets and setState contain the time of the change, from which the
	// lag is measured.
	setTargets struct {
		at      time.Time
		targets []lister.Target
	}
	setState struct {
		at    time.Time
		id    ident.Target
		state lister.State
	}
	setLag      struct{ lag time.Duration }
	setFault    struct{ status int }
	listRequest struct{ reply tasks.Reply[visibleList] }
)

// visibleList is the currently visible list, or the fault to respond with.
type visibleList struct {
	fault   int
	targets []lister.Target
}

// listVersion is the list as it is from a given time on.
type listVersion struct {
	at      time.Time
	targets []lister.Target
}

// listTask is the task that owns the versions of the list.
type listTask struct {
	settings
	fault    int
	versions []listVersion
}

var _ tasks.Task = (*listTask)(nil)

// Handle implements tasks.Task.
func (l *listTask) Handle(message any) {
	switch m := message.(type) {
	case setTargets:
		l.addVersion(m.at, m.targets)
	case setState:
		next := slices.Clone(l.versions[len(l.versions)-1].targets)
		for i, t := range next {
			if t.ID() == m.id {
				next[i] = t.WithState(m.state)
			}
		}
		l.addVersion(m.at, next)
	case setLag:
		l.lag = m.lag
	case setFault:
		l.fault = m.status
	case listRequest:
		m.reply.Send(visibleList{fault: l.fault, targets: l.visibleTargets()})
	}
}

func (l *listTask) addVersion(at time.Time, targets []lister.Target) {
	l.versions = append(l.versions, listVersion{at: at, targets: targets})
}

// visibleTargets returns the newest version that is at least as old as the lag,
// and discards older versions. If there is none, it returns the oldest version.
func (l *listTask) visibleTargets() []lister.Target {
	cutoff := l.clock.Now().Add(-l.lag)
	newest := 0
	for i, v := range l.versions {
		if !v.at.After(cutoff) {
			newest = i
		}
	}
	l.versions = l.versions[newest:]
	return l.versions[0].targets
}
