package front

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/logs"
	"github.com/oleanderflow/oleanderflow/internal/process/platform/store"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

const (
	// methodInForce is the peer method that returns the row of the configuration that
	// a proxy has in force.
	methodInForce = "configurationInForce"
	// inForceTimeout is the timeout of that call. Callers wait until a process has a
	// configuration.
	inForceTimeout = 250 * clock.Millisecond
	// maxAskedRelays is how many relays are asked in a fleet that is too large for all
	// proxies to be asked. All relays have the configuration in force.
	maxAskedRelays = 8
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
	names := f.others()
	if len(names) > maxAskedProxies {
		names = namesOf(f.relays.nearest(maxAskedRelays), f.self.Name)
	}
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

// applyVersions applies changed rows of the configuration table. A process that
// starts asks the others first if the store may lack what they have in force.
func (f *Front) applyVersions(changes store.Changes) {
	if f.versions.Load() == nil && changes.Era > store.FirstEra {
		f.acceptFromPeers(changes.Rows)
	}
	for _, row := range changes.Rows {
		if f.freshness.hasApplied(row) {
			continue
		}
		f.applyVersion(row, "")
	}
}

// applyVersion puts a configuration in force unless it is older than the one that is.
// from is the proxy that has sent it, empty if it is from the followed table.
func (f *Front) applyVersion(row store.Row, from string) {
	v, err := f.platform.DecodeVersion(row)
	if err != nil {
		f.log.Error("invalid configuration row", zap.Stringer("row", row.Version), zap.String("from", from), logs.Error(err))
		return
	}
	if v == nil {
		return
	}
	f.versionsMu.Lock()
	defer f.versionsMu.Unlock()
	if !f.versions.Accept(v) {
		f.log.Info("older configuration ignored", zap.Uint64("version", v.Number), zap.Uint64("inForce", f.versions.Load().Number),
			zap.Stringer("row", row.Version), zap.String("from", from))
		return
	}
	f.inForce = &row
	f.setConnectionLimits(v)
	fields := []zap.Field{zap.Uint64("version", v.Number), zap.Int("routes", len(v.Routes)), zap.String("from", from)}
	f.log.Info("configuration in force", append(fields, f.keyFields(v)...)...)
	if len(v.Problems) > 0 {
		first := errors.Join(v.Problems[:min(len(v.Problems), maxLoggedProblems)]...)
		f.log.Error("parts of the configuration left out", zap.Uint64("version", v.Number), zap.Int("count", len(v.Problems)), logs.Error(first))
	}
}

// maxLoggedProblems is the number of problems of a configuration that are logged.
const maxLoggedProblems = 5

// keyFields returns the log fields about the keys that a version has added or removed.
func (f *Front) keyFields(v *routes.Version) []zap.Field {
	added, removed := f.keys.update(v)
	if v.Workspaces == nil && len(removed) == 0 {
		return nil
	}
	fields := []zap.Field{zap.Int("workspaces", len(v.Workspaces.All())), zap.Int("keysAdded", len(added)), zap.Int("keysRemoved", len(removed))}
	if len(added) > 0 {
		fields = append(fields, zap.Strings("addedKeyIds", added[:min(len(added), maxLoggedKeys)]))
	}
	if len(removed) > 0 {
		fields = append(fields, zap.Strings("removedKeyIds", removed[:min(len(removed), maxLoggedKeys)]))
	}
	return fields
}

// setConnectionLimits passes the connection limits of the groups to f.homes,
// which divides them among the home proxies.
func (f *Front) setConnectionLimits(v *routes.Version) {
	limits := make(map[string]int, len(v.Groups))
	for name, g := range v.Groups {
		limits[name] = g.ConnectionLimit
	}
	f.homes.SetConnectionLimits(limits)
	f.homes.SetWorkspaces(v.Workspaces)
}
