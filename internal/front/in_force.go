package front

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// methodInForce is the peer method that returns the row of the configuration that
	// a proxy has in force.
	methodInForce = "configurationInForce"
	// inForceTimeout is the timeout of that call. Callers wait until a process has a
	// configuration.
	inForceTimeout = 250 * clock.Millisecond
)

// inForceParams asks for a configuration with a higher number.
type inForceParams struct {
	Number uint64 `json:"number"`
}

// inForceResult is the answer to inForceParams.
type inForceResult struct {
	// Row is nil if the answering proxy has none with a higher number.
	Row *store.Row `json:"row,omitempty"`
}

// handleInForce answers the question of another proxy.
func (f *Front) handleInForce(params json.RawMessage) (any, error) {
	var p inForceParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, errors.Wrap(err, "decode question for the configuration in force")
	}
	f.versionsMu.Lock()
	defer f.versionsMu.Unlock()
	if v := f.versions.Load(); v == nil || v.Number <= p.Number {
		return inForceResult{}, nil
	}
	return inForceResult{Row: f.inForce}, nil
}

// acceptFromPeers puts the newest configuration in force that other proxies have and
// that has a higher number than the one in rows. A store that was restored from an older
// copy may lack it until the operator has written it again, but callers have seen it.
func (f *Front) acceptFromPeers(rows []store.Row) {
	var known inForceParams
	for _, row := range rows {
		// An invalid row is reported when it is applied.
		if v, err := f.platform.DecodeVersion(row); err == nil && v != nil {
			known.Number = max(known.Number, v.Number)
		}
	}
	names := f.askable(f.relays.allSources())
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout.Std())
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			var answer inForceResult
			if err := f.peerConns.Call(ctx, name, methodInForce, known, &answer); err != nil {
				f.log.Info("proxy has not told its configuration", zap.String("name", name), logs.Error(err))
				return
			}
			if answer.Row != nil {
				f.applyVersion(*answer.Row, name)
			}
		})
	}
	wg.Wait()
}
