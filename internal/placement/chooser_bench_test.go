package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// BenchmarkChoose measures one choice among the instances of a service, all of which
// have statistics.
func BenchmarkChoose(b *testing.B) {
	for _, candidates := range []int{18, 101, 1000} {
		b.Run(fmt.Sprintf("%d candidates", candidates), func(b *testing.B) {
			c := NewChooser()
			var instances []*instance.Instance
			for n := range candidates {
				i := newInstance(fmt.Sprintf("i%d", n), fmt.Sprintf("z%d", n%9), fmt.Sprintf("r%d", n%3))
				observe(c, start, i, 50*time.Millisecond, 2)
				instances = append(instances, i)
			}
			q := query(instances...)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := c.Choose(start, q); !ok {
					b.Fatal("no instance was chosen")
				}
			}
		})
	}
}
