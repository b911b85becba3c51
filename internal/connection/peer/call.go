package peer

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// plainRequest is a RunRequest without its methods.
type plainRequest RunRequest

// packedRequest is the JSON of a request with a text that is not UTF-8, which JSON cannot
// hold. It has no operation of its own, so that an earlier build, which does not know
// Packed, runs nothing.
type packedRequest struct {
	// Packed is the request as it is sent in a frame.
	Packed []byte `json:"packed,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r *RunRequest) MarshalJSON() ([]byte, error) {
	if r.isUTF8() {
		return json.Marshal((*plainRequest)(r))
	}
	packed, err := r.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return json.Marshal(packedRequest{Packed: packed})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *RunRequest) UnmarshalJSON(text []byte) error {
	decoded := struct {
		*plainRequest
		packedRequest
	}{plainRequest: (*plainRequest)(r)}
	if err := json.Unmarshal(text, &decoded); err != nil || decoded.Packed == nil {
		return err
	}
	*r = RunRequest{}
	rest, err := r.UnmarshalMsg(decoded.Packed)
	if err == nil && len(rest) > 0 {
		err = errTrailing
	}
	return err
}

var errTrailing = errors.New("bytes after the end of the request")

// isUTF8 reports whether all texts of the request are UTF-8.
func (r *RunRequest) isUTF8() bool {
	texts := []string{r.Session, r.Workspace, r.Route, r.Group, r.ID, r.Operation.Name, r.Operation.Text}
	if r.Begin != nil {
		texts = append(texts, r.Begin.ID)
	}
	if p := r.Prepared; p != nil {
		texts = append(texts, p.Name, p.Shape)
	}
	for _, v := range r.Values {
		texts = append(texts, v.Name, v.Text)
	}
	for _, t := range texts {
		if !utf8.ValidString(t) {
			return false
		}
	}
	return true
}
