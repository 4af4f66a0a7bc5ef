package config_test

import (
	"fmt"
	"testing"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/testkit"
)

// BenchmarkCompile measures the compilation that each node does for each new
// version, with the 360 services that the system is designed for.
func BenchmarkCompile(b *testing.B) {
	names := make([]string, 360)
	for i := range names {
		names[i] = fmt.Sprintf("service-%03d", i)
	}
	sections := testkit.Sections(1, names...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Compile(sections); err != nil {
			b.Fatal(err)
		}
	}
}
