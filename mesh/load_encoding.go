package mesh

import (
	"encoding/binary"
	"fmt"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

// errBadLoads means that the encoded loads of targets cannot be decoded.
const errBadLoads = errors.ConstError("loads of targets cannot be decoded")

// indexTargets returns the position of each target in a list.
func indexTargets(list []ListedTarget) map[ident.Target]int {
	index := make(map[ident.Target]int, len(list))
	for i, t := range list {
		index[t.id] = i
	}
	return index
}

// encodeLoads encodes the stats of targets by their positions in a list that
// the receiver has. The records must be in the order of the list. Each is a
// sequence of varints: the step from the previous position, twice the number of
// requests in flight, plus one if the failed and served attempts follow.
func encodeLoads(records []TargetStatsRecord, index map[ident.Target]int) []byte {
	var b []byte
	next := 0
	for _, r := range records {
		i, ok := index[ident.Target(r.Target)]
		if !ok || i < next {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		next = i + 1
		running := 2 * uint64(max(r.Running, 0))
		if r.Failed == 0 && r.Served == 0 {
			b = binary.AppendUvarint(b, running)
			continue
		}
		b = binary.AppendUvarint(b, running+1)
		b = binary.AppendUvarint(b, uint64(max(r.Failed, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Served, 0)))
	}
	return b
}

// decodeLoads decodes the stats of targets of the given list.
func decodeLoads(b []byte, list []ListedTarget) ([]spread.TargetStats, error) {
	var stats []spread.TargetStats
	v := varints{rest: b}
	next := uint64(0)
	for len(v.rest) > 0 && !v.failed {
		step, running := v.next(), v.next()
		var failed, served uint64
		if running%2 == 1 {
			failed, served = v.next(), v.next()
		}
		if v.failed || step >= uint64(len(list)) || next+step >= uint64(len(list)) {
			return nil, fmt.Errorf("%w: position %d of %d", errBadLoads, next, len(list))
		}
		next += step
		stats = append(stats, spread.NewTargetStats(list[next].id, int(running/2), int(failed), int(served)))
		next++
	}
	return stats, nil
}

// varints reads a sequence of varints. Failed is set at the first that is
// incomplete.
type varints struct {
	rest   []byte
	failed bool
}

func (v *varints) next() uint64 {
	value, n := binary.Uvarint(v.rest)
	if n <= 0 {
		v.failed = true
		return 0
	}
	v.rest = v.rest[n:]
	return value
}
