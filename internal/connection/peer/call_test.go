package peer

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/oleanderflow/oleanderflow/internal/process/proxy"
	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/pkg/clock"
)

// anyBytes is a text that no other text may become on its way between proxies.
const anyBytes = " a  \r\n\x00\xff\xc3(\u2028<\ufffd\xed\xa0\x80 "

// requestWith returns a request with the text in each field that is one.
func requestWith(text string) *RunRequest {
	r := fullRequest()
	setTexts(reflect.ValueOf(r).Elem(), text)
	r.Operation.Kind = kindExecute
	return r
}

func setTexts(v reflect.Value, text string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Pointer:
		setTexts(v.Elem(), text)
	case reflect.Struct:
		for i := range v.NumField() {
			setTexts(v.Field(i), text)
		}
	case reflect.Slice:
		for i := range v.Len() {
			setTexts(v.Index(i), text)
		}
	}
}

// keepingReceiver keeps the last request that it was sent.
type keepingReceiver struct {
	framed, called *RunRequest
	response       *RunResponse
}

func (r *keepingReceiver) Receive(_ context.Context, _ string, params json.RawMessage) (any, error) {
	r.called = &RunRequest{}
	return r.response, json.Unmarshal(params, r.called)
}

func (r *keepingReceiver) Run(_ context.Context, request []byte) (msgp.Marshaler, error) {
	r.framed = &RunRequest{}
	_, err := r.framed.UnmarshalMsg(request)
	return r.response, err
}

// JSON replaces bytes that are not UTF-8: a database would run a statement that nobody
// has sent. Requests that are too long for a frame are sent as JSON.
func TestTextsArriveUnchanged(t *testing.T) {
	response := fullResponse()
	setTexts(reflect.ValueOf(response).Elem(), anyBytes)
	response.Refused, response.Rows, response.Signature = false, []byte(anyBytes), []byte(anyBytes)
	// In JSON, bytes of the text of an error and of the names of proxies may be replaced.
	response.Text, response.Unreachable = "text", nil
	r := &keepingReceiver{response: response}
	server, err := proxy.NewPeers("127.0.0.1:0", r, zap.NewNop())
	require.NoError(t, err)
	defer server.Close()
	client, err := proxy.NewPeers("127.0.0.1:0", r, zap.NewNop())
	require.NoError(t, err)
	defer client.Close()
	h := NewHomes("self", "a", client, clock.NewBoot())
	h.SetMembers([]proxy.Peer{{Name: "home", Address: server.Address()}})
	for _, text := range []string{anyBytes, "plain"} {
		request := requestWith(text)
		answer, err := h.Forward("home", request, 5*clock.Second)
		require.NoError(t, err)
		require.Equal(t, request, r.framed)
		require.Equal(t, response, answer)

		request.Operation.Text = strings.Repeat(text, 1<<20/len(text))
		r.framed = nil
		answer, err = h.Forward("home", request, 5*clock.Second)
		require.NoError(t, err)
		require.Nil(t, r.framed, "too long for a frame")
		require.True(t, reflect.DeepEqual(request, r.called), "the request has changed")
		require.Equal(t, response, answer)
	}
}

// A proxy of an earlier build must not run what it decodes of a request that JSON cannot
// hold.
func TestEarlierBuildsRunNoChangedTexts(t *testing.T) {
	request := requestWith("plain")
	fields := reflect.ValueOf(request).Elem()
	for i := range fields.NumField() {
		if fields.Field(i).Kind() != reflect.String {
			continue
		}
		request := requestWith("plain")
		reflect.ValueOf(request).Elem().Field(i).SetString(anyBytes)
		requireRejectedByEarlierBuilds(t, request)
	}
	request.Values[1].Text = anyBytes
	requireRejectedByEarlierBuilds(t, request)
	for _, set := range []func(*RunRequest){
		func(r *RunRequest) { r.Begin.ID = anyBytes },
		func(r *RunRequest) { r.Prepared.Shape = anyBytes },
		func(r *RunRequest) { r.Operation.Text = anyBytes },
		func(r *RunRequest) { r.Operation.Name = anyBytes },
		func(r *RunRequest) { r.Values = []statement.Set{{Name: anyBytes}} },
	} {
		request := requestWith("plain")
		set(request)
		requireRejectedByEarlierBuilds(t, request)
	}
}

func requireRejectedByEarlierBuilds(t *testing.T, request *RunRequest) {
	t.Helper()
	type earlierRequest RunRequest
	encoded, err := json.Marshal(request)
	require.NoError(t, err)
	var earlier earlierRequest
	require.NoError(t, json.Unmarshal(encoded, &earlier))
	_, err = earlier.Operation.Decode()
	var unknown *UnknownKindError
	require.ErrorAs(t, err, &unknown)
	var got RunRequest
	require.NoError(t, json.Unmarshal(encoded, &got))
	require.Equal(t, *request, got)
}
