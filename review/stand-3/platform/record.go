package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, one line an event,
// with the seconds since the start of the traffic. It is safe for concurrent use.
type record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(directory string) (*record, error) {
	f, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// begin sets the time from which the events count.
func (r *record) begin() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.start = time.Now()
}

// seconds returns the time since the start of the traffic.
func (r *record) seconds(at time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return at.Sub(r.start).Seconds()
}

// add writes an event of now.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt writes an event of the given time.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// An error shows when the record is closed.
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes an event and shows it to whoever runs the script.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write record: %w", err)
	}
	if err := r.file.Close(); err != nil {
		return fmt.Errorf("close record: %w", err)
	}
	return nil
}
