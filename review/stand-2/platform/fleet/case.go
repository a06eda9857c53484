package fleet

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// caseTime limits a case, so that its processes end in time.
const caseTime = 112 * time.Second

// Play plays a case and returns its exit code. The arguments of the program are the
// root of the repository and the name of the record file. TROUBLE in the
// environment is passed on; 0 means that nothing is disrupted.
func Play(tolerated, grace int, play func(ctx context.Context, f *Fleet, trouble string) (int, error)) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	if len(os.Args) != 3 {
		fmt.Println("usage: ROOT RECORD")
		return Failed
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return Failed
	}
	f, err := New(os.Args[1], record, tolerated, grace)
	if err != nil {
		record.Printf("case could not run: %v", err)
		return Failed
	}
	defer f.Close()
	result, err := play(ctx, f, os.Getenv("TROUBLE"))
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		record.Printf("case could not run: %v", err)
		return Failed
	}
	return result
}
