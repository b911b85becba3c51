package operator_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
)

// baseFile returns the text of a base file that declares the given number of
// groups with three databases each.
func baseFile(groups int) string {
	var b strings.Builder
	for g := range groups {
		fmt.Fprintf(&b, "[group.shop%05d]\ncustomer = shop%05d\nconnections = 50\n", g, g)
		for d := range 3 {
			fmt.Fprintf(&b, "[database.shop%05d.%c]\naddress = 10.%d.%d.%d:5432\nzone = region-%d-zone-%d\n", g, 'a'+d, d, g/250, g%250, g%5, (g+d)%18)
		}
	}
	return b.String()
}

// BenchmarkCapacityDeclarations measures the size of a base file, the time to
// load it and the memory per group of the loaded configuration.
func BenchmarkCapacityDeclarations(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := baseFile(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			config, _, err := operator.Load("base.ini", []byte(text), "", nil)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				if _, _, err := operator.Load("base.ini", []byte(text), "", nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "fileBytes")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "bytes/group")
			runtime.KeepAlive(config)
		})
	}
}

// BenchmarkCapacityChange measures the time to load a file again after one
// section has changed.
func BenchmarkCapacityChange(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := baseFile(n)
			parser := operator.NewParser()
			for i := range b.N + 1 {
				changed := strings.Replace(text, "connections = 50", fmt.Sprintf("connections = %d", 40+i%2), 1)
				if _, _, err := parser.Load("base.ini", []byte(changed), "", nil); err != nil {
					b.Fatal(err)
				}
				if i == 0 {
					b.ResetTimer()
				}
			}
		})
	}
}
