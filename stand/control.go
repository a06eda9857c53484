package stand

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/target"
)

// FleetRecord is the JSON form of the counts of a fleet. Duplicates is the
// number of idempotency keys that ran more than once on all targets together,
// among the recorded runs. Unrecorded is the number of runs that were not
// recorded.
type FleetRecord struct {
	Targets    []StatsRecord `json:"targets"`
	Duplicates int           `json:"duplicates"`
	Unrecorded int           `json:"unrecorded"`
}

// StatsRecord is the JSON form of the Stats of one target.
type StatsRecord struct {
	Target   string `json:"target"`
	Ran      int    `json:"ran"`
	Shed     int    `json:"shed"`
	Crashes  int    `json:"crashes"`
	KeysSeen int    `json:"keys-seen"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	Peak     int    `json:"peak"`
}

// ControlHandler returns a handler by which a test controls the stand-ins of
// another process:
//
//	GET  /figures
//	POST /targets/ID/drain?on=BOOL
//	POST /targets/ID/list?state=live|leaving
//	POST /targets/ID/crash
//	POST /targets/ID/restart
//	POST /targets/ID/reports?lag=DURATION&fault=STATUS&silent=BOOL
//	POST /targets/ID/claims?state=STATE&busy=N
//	POST /targets/ID/cut?after=BYTES
//	POST /platform?lag=DURATION&fault=STATUS
//
// It must not be reachable by the callers of the system under test.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /figures", f.serveStats)
	mux.HandleFunc("POST /platform", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, f.updatePlatform(r))
	})
	actions := map[string]func(*Target, *http.Request) error{
		"drain": setDraining, "list": f.setListState, "crash": crashTarget, "restart": restartTarget,
		"reports": configureReports, "claims": overrideReports, "cut": interruptDownload,
	}
	for name, action := range actions {
		mux.HandleFunc("POST /targets/{id}/"+name, func(w http.ResponseWriter, r *http.Request) {
			t := f.findTarget(ident.Target(r.PathValue("id")))
			if t == nil {
				http.NotFound(w, r)
				return
			}
			writeResult(w, action(t, r))
		})
	}
	return mux
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *Fleet) findTarget(id ident.Target) *Target {
	for _, t := range f.targets {
		if t.ID() == id {
			return t
		}
	}
	return nil
}

func (f *Fleet) serveStats(w http.ResponseWriter, r *http.Request) {
	record := FleetRecord{Targets: []StatsRecord{}}
	var allRuns [][]Run
	for _, t := range f.targets {
		runs, err := t.Runs(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		stats, err := t.Stats(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		allRuns = append(allRuns, runs)
		record.Unrecorded += stats.unrecorded
		record.Targets = append(record.Targets, StatsRecord{
			Target: string(t.ID()), Ran: stats.ran, Shed: stats.shed, Crashes: stats.crashes, KeysSeen: stats.keysSeen,
			Busy: stats.busy, Queued: stats.queued, Peak: stats.peak,
		})
	}
	record.Duplicates = len(Duplicates(allRuns...))
	writeJSON(w, record)
}

func (f *Fleet) updatePlatform(r *http.Request) error {
	lag, hasLag, err := durationParameter(r, "lag")
	if err != nil {
		return fmt.Errorf("steer platform: %w", err)
	}
	fault, hasFault, err := intParameter(r, "fault")
	if err != nil {
		return fmt.Errorf("steer platform: %w", err)
	}
	if hasLag {
		f.platform.SetLag(lag)
	}
	if hasFault {
		f.platform.SetFault(fault)
	}
	return nil
}

func setDraining(t *Target, r *http.Request) error {
	on, err := strconv.ParseBool(r.FormValue("on"))
	if err != nil {
		return fmt.Errorf("parameter on: %w", err)
	}
	t.SetDraining(on)
	return nil
}

func (f *Fleet) setListState(t *Target, r *http.Request) error {
	state := lister.State(r.FormValue("state"))
	if state != lister.Live && state != lister.Leaving {
		return fmt.Errorf("parameter state: %q", state)
	}
	f.platform.SetState(t.ID(), state)
	return nil
}

func crashTarget(t *Target, _ *http.Request) error {
	t.Crash()
	return nil
}

func restartTarget(t *Target, _ *http.Request) error { return t.Restart() }

func configureReports(t *Target, r *http.Request) error {
	lag, hasLag, err := durationParameter(r, "lag")
	if err != nil {
		return fmt.Errorf("steer target: %w", err)
	}
	fault, hasFault, err := intParameter(r, "fault")
	if err != nil {
		return fmt.Errorf("steer target: %w", err)
	}
	silent, err := strconv.ParseBool(valueOr(r.FormValue("silent"), "false"))
	if err != nil {
		return fmt.Errorf("parameter silent: %w", err)
	}
	if hasLag {
		t.SetReportLag(lag)
	}
	if hasFault {
		t.SetReportFault(fault)
	}
	if r.FormValue("silent") != "" {
		t.SetReportsSilent(silent)
	}
	return nil
}

func overrideReports(t *Target, r *http.Request) error {
	busy, hasBusy, err := intParameter(r, "busy")
	if err != nil {
		return fmt.Errorf("steer target: %w", err)
	}
	if !hasBusy {
		busy = -1
	}
	t.OverrideReports(target.State(r.FormValue("state")), busy)
	return nil
}

func interruptDownload(t *Target, r *http.Request) error {
	after, _, err := intParameter(r, "after")
	if err != nil {
		return fmt.Errorf("steer target: %w", err)
	}
	t.InterruptDownloads(int64(after))
	return nil
}

// durationParameter parses a parameter that may be absent.
func durationParameter(r *http.Request, name string) (time.Duration, bool, error) {
	value := r.FormValue(name)
	if value == "" {
		return 0, false, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, false, fmt.Errorf("parameter %s: %w", name, err)
	}
	return d, true, nil
}

// intParameter parses a parameter that may be absent and is not negative.
func intParameter(r *http.Request, name string) (int, bool, error) {
	value := r.FormValue(name)
	if value == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, false, fmt.Errorf("parameter %s: %w", name, err)
	}
	return int(n), true, nil
}
