package front

import (
	"context"
	"encoding/json"

	"github.com/tinylib/msgp/msgp"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
)

// peerHandler dispatches calls of other proxies to the relay, the registrar, the
// replacements, the configuration in force, its proof, the accountant or the session host.
type peerHandler struct {
	relays        *relays
	registrar     *registrar
	earlierClaims func(params json.RawMessage) (any, error)
	inForce       func(params json.RawMessage) (any, error)
	freshness     func(params json.RawMessage) (any, error)
	grant         func(params json.RawMessage) (any, error)
	host          proxy.Receiver
}

// Receive implements proxy.Receiver.
func (r *peerHandler) Receive(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodFollow:
		return r.relays.handleFollow(params)
	case methodRegister:
		return r.registrar.handleRegister(params)
	case methodEarlierClaims:
		return r.earlierClaims(params)
	case methodInForce:
		return r.inForce(params)
	case methodFreshness:
		return r.freshness(params)
	case methodGrant:
		return r.grant(params)
	default:
		return r.host.Receive(ctx, method, params)
	}
}

// Run implements proxy.Receiver.
func (r *peerHandler) Run(ctx context.Context, request []byte) (msgp.Marshaler, error) {
	return r.host.Run(ctx, request)
}
