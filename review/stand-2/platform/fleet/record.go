package fleet

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what a case sees to its record file, with the seconds since the
// start.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(name string) (*Record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	// A failed write leaves the record short, which its reader sees.
	_, _ = r.file.WriteString(line)
}
