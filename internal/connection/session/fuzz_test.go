package session

import (
	"context"
	"encoding/json"
	"testing"

	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/connection/backend"
	"github.com/oleanderflow/oleanderflow/internal/connection/peer"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// No call of another proxy may panic its host.
func FuzzHostReceive(f *testing.F) {
	f.Add([]byte(`{"session":"a/1","group":"g","id":"q","operation":{"kind":"read","text":"READ a"}}`))
	f.Add([]byte(`{"session":"a/1","transaction":1,"begin":{},"operation":{"kind":"commit"}}`))
	f.Add([]byte(`{"operation":{"kind":"execute","name":"s"},"prepared":{"name":"s","writes":true}}`))
	f.Add([]byte(`{"operation":{}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return nil }})
		var run peer.RunRequest
		if json.Unmarshal(data, &run) == nil && run.Timeout > 0 {
			return // it would wait for the group
		}
		_, _ = h.Receive(context.Background(), peer.MethodRun, data)
	})
}

// No frame of another proxy may panic its host.
func FuzzHostRun(f *testing.F) {
	for _, run := range []*peer.RunRequest{
		{Session: "a/1", Group: "g", ID: "q", Operation: peer.Operation{Kind: "read", Text: "READ a"}},
		{Session: "a/1", Transaction: 1, Begin: &peer.Begin{}, Operation: peer.Operation{Kind: "commit"}},
		{Operation: peer.Operation{Kind: "execute", Name: "s"}, Prepared: &peer.Prepared{Name: "s", Writes: true}},
		{},
	} {
		data, err := run.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		h := NewHost(&Dependencies{Clock: clock.NewBoot(), Log: zap.NewNop(), Group: func(string) *backend.GroupClient { return nil }})
		var run peer.RunRequest
		if _, err := run.UnmarshalMsg(data); err == nil && run.Timeout > 0 {
			return // it would wait for the group
		}
		_, _ = h.Run(context.Background(), data)
	})
}
