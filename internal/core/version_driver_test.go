package core

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/version/operator"
	versionproxy "github.com/oleanderflow/oleanderflow/internal/version/proxy"
)

// A version that is applied late must not replace a later one.
func TestLateVersionDoesNotReplaceALaterOne(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	v := d.Proxies[0].versions
	first, second := operator.Default(), operator.Default()
	begun, release := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var applied []*operator.Configuration
	v.apply = func(c *operator.Configuration) {
		if c == first {
			close(begun)
			<-release
		}
		mu.Lock()
		defer mu.Unlock()
		applied = append(applied, c)
	}
	v.mu.Lock()
	v.parsed["first"], v.parsed["second"] = first, second
	version := v.spread.Active().Version
	v.mu.Unlock()
	var wg sync.WaitGroup
	for i, hash := range []string{"first", "second"} {
		wg.Go(func() {
			v.applyVersion(versionproxy.Activate{Head: versionproxy.Head{Version: version + 1 + uint64(i), Hash: hash}})
		})
		<-begun
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	wg.Wait()
	require.Equal(t, []*operator.Configuration{first, second}, applied)
}
