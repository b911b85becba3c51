package peer

import (
	"encoding/hex"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/internal/request/statement"
	"github.com/oleanderflow/oleanderflow/internal/version/routes"
)

// fullRequest has a value in each field.
func fullRequest() *RunRequest {
	r := sampleRequest()
	r.Transaction, r.Begin, r.Reserve, r.Priority, r.Consistency = 1<<63, &Begin{ID: "b", ReadOnly: true}, true, 2, routes.BoundedAge
	r.Values = []statement.Set{{Name: "a", Text: "1"}, {Name: "b"}}
	r.Prepared = &Prepared{Name: "p", Writes: true, Shape: "READ $1"}
	r.Operation.Name = "p"
	r.AnswerWithin = 700
	return r
}

// fullResponse has a value in each field.
func fullResponse() *RunResponse {
	r := sampleResponse()
	r.Refused, r.NoGrant, r.Failed, r.Code, r.Text, r.State = true, true, true, statement.CodeInDoubt, "text", statement.Failed
	r.Unreachable = []string{"x", "y"}
	return r
}

// A field that is added to a message without being encoded would be lost between
// proxies. Each field of the full messages is set, and arrives.
func TestAllFieldsAreEncoded(t *testing.T) {
	request := fullRequest()
	requireAllSet(t, reflect.ValueOf(*request))
	b, err := request.MarshalMsg(nil)
	require.NoError(t, err)
	var gotRequest RunRequest
	rest, err := gotRequest.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, *request, gotRequest)

	response := fullResponse()
	requireAllSet(t, reflect.ValueOf(*response))
	b, err = response.MarshalMsg(nil)
	require.NoError(t, err)
	var gotResponse RunResponse
	rest, err = gotResponse.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, *response, gotResponse)
}

func requireAllSet(t *testing.T, v reflect.Value) {
	for i := range v.NumField() {
		require.False(t, v.Field(i).IsZero(), v.Type().Field(i).Name)
	}
}

// The encodings are spoken between builds of different ages: these bytes must be
// understood by all later ones.
func TestEncodingStays(t *testing.T) {
	for _, kind := range kinds[1:] {
		require.Equal(t, kind, kindOfNumber(kind.number()))
	}
	require.Equal(t, []Kind{"", kindCommit, kindRollback, kindRead, kindWrite, kindSet, kindExecute}, kinds[:])
	b, err := fullRequest().MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, requestBytes, hex.EncodeToString(b))
	b, err = fullResponse().MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, responseBytes, hex.EncodeToString(b))
}

const (
	requestBytes  = "de0012a173b170726f78792d303034322f313833373436a174cf8000000000000000a16282a169a162a172c3a177ac776f726b73706163652d3137a176c3a172a66f7264657273a167a867726f75702d3033a16b01a164d103e8a16c64a17002a161d101f4a17ad102bca1669207ce075bcd15a1659292a161a13192a162a0a17883a16ea170a177c3a173a752454144202431a169ad303034322d30314a395a4b3351a16f83a16b03a16ea170a174d92052454144206f72646572732f313238333734206f72646572732f313238333735"
	responseBytes = "8ba178c3a16ec3a172c461524f57206f72646572732f313238333734207b227374617465223a2270616964222c22746f74616c223a313239307d0d0a524f57206f72646572732f313238333735207b227374617465223a2273656e74222c22746f74616c223a3734307d0d0aa167c4203031323334353637383961626364656630313233343536373839616263646566a165c3a1630ba174a474657874a17302a1709207ce075bcde7a1669207ce075bcd15a17592a178a179"
)

// A later build may send fields that this one does not know.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	b, err := (&RunResponse{Text: "a"}).MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, []byte{0x81, 0xa1, 't', 0xa1, 'a'}, b)
	var r RunResponse
	_, err = r.UnmarshalMsg([]byte{0x82, 0xa2, 'z', 'z', 0x92, 1, 2, 0xa1, 't', 0xa1, 'a'})
	require.NoError(t, err)
	require.Equal(t, RunResponse{Text: "a"}, r)
}

// Empty fields cost nothing, because most statements have few optional ones.
func TestEmptyFieldsAreOmitted(t *testing.T) {
	b, err := (&RunResponse{Refused: true}).MarshalMsg(nil)
	require.NoError(t, err)
	require.Len(t, b, 4)
	b, err = (&RunRequest{Operation: Operation{Kind: kindCommit}}).MarshalMsg(nil)
	require.NoError(t, err)
	require.Len(t, b, 7)
}

// Callers may set any number of variables. A request with more than its home decodes
// would close the connection, with the statements of others on it.
func TestAllValuesThatFitIntoAFrameAreDecoded(t *testing.T) {
	r := &RunRequest{Values: make([]statement.Set, 349_000)}
	b, err := r.MarshalMsg(nil)
	require.NoError(t, err)
	require.Less(t, len(b), 1<<20)
	var got RunRequest
	_, err = got.UnmarshalMsg(b)
	require.NoError(t, err)
	require.Len(t, got.Values, 349_000)
}

// An operation of a kind that this build does not know is an error, not another
// operation.
func TestUnknownKindIsAnError(t *testing.T) {
	for _, k := range []Kind{kindOfNumber(0), kindOfNumber(7), kindOfNumber(255), "other"} {
		_, err := Operation{Kind: k}.Decode()
		var unknown *UnknownKindError
		require.ErrorAs(t, err, &unknown)
	}
}

// Frames and calls carry the same messages, and earlier builds understand the JSON.
func TestJSONIsThatOfEarlierBuilds(t *testing.T) {
	b, err := json.Marshal(&RunRequest{Floor: Position{Term: 1, Offset: 2}, Operation: Operation{Kind: kindRead, Text: "READ a"}})
	require.NoError(t, err)
	require.JSONEq(t, `{"session":"","route":"","group":"","kind":0,"timeout":0,"target":0,"priority":0,
		"floor":{"Term":1,"Offset":2},"id":"","operation":{"kind":"read","text":"READ a"}}`, string(b))
	b, err = json.Marshal(&RunResponse{Position: Position{Term: 1, Offset: 2}})
	require.NoError(t, err)
	require.JSONEq(t, `{"position":{"Term":1,"Offset":2},"floor":{"Term":0,"Offset":0}}`, string(b))
}

// An EXECUTE with a blank and nothing else after its name lost that blank on its way to a
// home. Earlier builds take it for one without arguments.
func TestEmptyArgumentsOfExecuteArrive(t *testing.T) {
	for _, e := range []statement.Execute{{Name: "s"}, {Name: "s", EmptyArguments: true}, {Name: "s", Arguments: " "}, {Name: "", Arguments: "a  b "}} {
		o, ok := Encode(e)
		require.True(t, ok)
		b, err := o.MarshalMsg(nil)
		require.NoError(t, err)
		var framed, called Operation
		_, err = framed.UnmarshalMsg(b)
		require.NoError(t, err)
		got, err := framed.Decode()
		require.NoError(t, err)
		require.Equal(t, e, got)
		b, err = json.Marshal(o)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(b, &called))
		require.Equal(t, o, called)
	}
}

// JSON replaces bytes that are no UTF-8 by others. A request that contains some is not sent
// as JSON.
func TestRequestThatJSONWouldChange(t *testing.T) {
	require.True(t, fullRequest().FitsJSON())
	for name, change := range map[string]func(*RunRequest){
		"id":              func(r *RunRequest) { r.ID = "a\xff" },
		"id of BEGIN":     func(r *RunRequest) { r.Begin.ID = "a\xff" },
		"text":            func(r *RunRequest) { r.Operation.Text = "WRITE a \xc3" },
		"name":            func(r *RunRequest) { r.Operation.Name = "\xc3" },
		"value":           func(r *RunRequest) { r.Values[1].Text = "SET a \xed\xa0\x80" },
		"name of a value": func(r *RunRequest) { r.Values[0].Name = "\xff" },
		"prepared name":   func(r *RunRequest) { r.Prepared.Name = "\xff" },
		"shape":           func(r *RunRequest) { r.Prepared.Shape = "\xff" },
		"workspace":       func(r *RunRequest) { r.Workspace = "\xff" },
		"route":           func(r *RunRequest) { r.Route = "\xff" },
		"group":           func(r *RunRequest) { r.Group = "\xff" },
		"session":         func(r *RunRequest) { r.Session = "\xff" },
	} {
		r := fullRequest()
		change(r)
		require.False(t, r.FitsJSON(), name)
	}
	for _, text := range []string{"", "\x00\t\r\n\u2028<&>\"\\", "\ufffd", "\U0010ffff\x7f"} {
		r := fullRequest()
		r.ID, r.Operation.Text = text, text
		require.True(t, r.FitsJSON(), "%q", text)
		b, err := json.Marshal(r)
		require.NoError(t, err)
		var got RunRequest
		require.NoError(t, json.Unmarshal(b, &got))
		require.Equal(t, *r, got)
	}
}

// No bytes of a peer may panic the decoders or make them allocate much more than has
// arrived, and what they accept stays the same when it is encoded again.
func FuzzMessages(f *testing.F) {
	request, _ := fullRequest().MarshalMsg(nil)
	response, _ := fullResponse().MarshalMsg(nil)
	f.Add(request)
	f.Add(response)
	f.Add([]byte{0x80})
	f.Add([]byte{0x81, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'o', 0x81, 0xa1, 'k', 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request, again RunRequest
		if _, err := request.UnmarshalMsg(data); err == nil {
			b, err := request.MarshalMsg(nil)
			require.NoError(t, err)
			_, err = again.UnmarshalMsg(b)
			require.NoError(t, err)
			b2, err := again.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, b, b2)
		}
		var response, same RunResponse
		if _, err := response.UnmarshalMsg(data); err == nil {
			b, err := response.MarshalMsg(nil)
			require.NoError(t, err)
			_, err = same.UnmarshalMsg(b)
			require.NoError(t, err)
			b2, err := same.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, b, b2)
		}
	})
}
