package core

import (
	"bytes"
	"context"
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
	version := v.spread.Active().Version
	v.mu.Unlock()
	var wg sync.WaitGroup
	for i, config := range []*operator.Configuration{first, second} {
		wg.Go(func() {
			v.applyVersion(versionproxy.Activate{Head: versionproxy.Head{Version: version + 1 + uint64(i)}}, config)
		})
		<-begun
	}
	time.Sleep(50 * time.Millisecond)
	close(release)
	wg.Wait()
	require.Equal(t, []*operator.Configuration{first, second}, applied)
}

// A second copy of a version's content arrives before the version is applied.
func TestSecondCopyOfContentDoesNotDiscardAVersion(t *testing.T) {
	d := startDev(t, DevSettings{Proxies: 1})
	p := d.Proxies[0]
	v := p.versions
	head, err := d.history().Head(context.Background())
	require.NoError(t, err)
	content, err := d.history().Content(context.Background(), head.Hash)
	require.NoError(t, err)
	content = bytes.Replace(content, []byte("connections = 50"), []byte("connections = 40"), 1)
	hash := operator.Hash(content)
	v.mu.Lock()
	v.spread.HandlePeerHead(p.clock.Now(), "other", versionproxy.Head{Version: head.Version + 1, Hash: hash}, nil)
	v.mu.Unlock()
	v.applyMu.Lock()
	var wg sync.WaitGroup
	wg.Go(func() { v.handleContent(hash, content) })
	require.Eventually(t, func() bool {
		active, _ := v.current()
		return active.Hash == hash
	}, 10*time.Second, time.Millisecond)
	v.handleContent(hash, content)
	v.applyMu.Unlock()
	wg.Wait()
	require.Equal(t, 40, p.Configuration().Groups[0].Connections)
}
