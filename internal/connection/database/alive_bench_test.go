package database

import "testing"

func BenchmarkIdle(b *testing.B) {
	c, _ := connPair(b, false)
	b.ReportAllocs()
	for range b.N {
		if !c.Idle() {
			b.Fatal("the connection is in use")
		}
	}
}
