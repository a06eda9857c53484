package patch

import (
	"fmt"
	"testing"
)

// BenchmarkSizes reports the encoded size of documents of 100, 2,000 and
// 10,000 lines, whole and as a difference of one line.
func BenchmarkSizes(b *testing.B) {
	for _, lines := range []int{100, 2000, 10000} {
		base := document(lines, 1)
		next := edited(base)
		cases := []struct {
			name           string
			base, document []byte
		}{{"whole", nil, next}, {"difference", base, next}}
		for _, c := range cases {
			b.Run(fmt.Sprintf("%s/%d", c.name, lines), func(b *testing.B) {
				var encoded []byte
				for b.Loop() {
					var err error
					if encoded, err = Encode(c.base, c.document); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(c.document)), "document-bytes")
				b.ReportMetric(float64(len(encoded)), "encoded-bytes")
			})
		}
	}
}
