package platform

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderflow/oleanderflow/internal/process/platform"
)

// The request limits of a Server.
const (
	// WritesPerSecond is the number of writes that are admitted in a second.
	WritesPerSecond = 500
	// ReadsPerSecond is the number of reads that are admitted in a second.
	ReadsPerSecond = 2000
)

// maxBodySize is the size in bytes to which a request body is truncated.
const maxBodySize = 16 << 20

// Server serves a Memory over the published DynamoDB and S3 protocols, and the
// list of instances as JSON.
type Server struct {
	Memory   *Memory
	http     *http.Server
	listener net.Listener
	down     atomic.Bool
	// delay is the wait before each request is handled, in nanoseconds.
	delay atomic.Int64

	mu          sync.Mutex
	windowStart time.Time
	reads       int
	writes      int
	instances   []platform.Instance
}

// NewServer listens on address and serves an empty Memory until Close. It
// returns an error if it cannot listen.
func NewServer(address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the simulated platform services")
	}
	s := &Server{Memory: NewMemory(), listener: l}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Endpoint returns the URL of the server, without a path.
func (s *Server) Endpoint() string { return "http://" + s.listener.Addr().String() }

// SetDown makes the server answer every request with status 503 while down is
// true.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// SetDelay makes the server wait for d before it handles each later request.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetInstances replaces the list of instances.
func (s *Server) SetInstances(instances []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = instances
}

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.delay.Load()))
	if s.down.Load() {
		http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		return
	}
	target := r.Header.Get("X-Amz-Target")
	writes := strings.HasSuffix(target, "PutItem") || r.Method == http.MethodPut
	if !s.admit(writes) {
		tableError(w, "ProvisionedThroughputExceededException", "limit of the service exceeded")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasSuffix(target, ".GetItem"):
		s.getItem(r.Context(), w, body)
	case strings.HasSuffix(target, ".PutItem"):
		s.putItem(r.Context(), w, body)
	case r.URL.Path == "/instances":
		s.listInstances(w)
	default:
		s.serveObject(w, r, body)
	}
}

// admit counts a request and reports whether it is within the limits of the
// current second.
func (s *Server) admit(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.reads, s.writes = now, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= WritesPerSecond
	}
	s.reads++
	return s.reads <= ReadsPerSecond
}

// attribute is an attribute value of the DynamoDB protocol: a string, a number
// or bytes.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

type getItemRequest struct {
	Key map[string]attribute
}

type getItemResponse struct {
	Item map[string]attribute `json:",omitempty"`
}

type putItemRequest struct {
	Item                      map[string]attribute
	ConditionExpression       string
	ExpressionAttributeValues map[string]attribute
}

type errorResponse struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

// tableError answers with an error of the DynamoDB protocol.
func tableError(w http.ResponseWriter, kind, message string) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(errorResponse{Type: "com.amazonaws.dynamodb.v20120810#" + kind, Message: message})
}

func (s *Server) getItem(ctx context.Context, w http.ResponseWriter, body []byte) {
	var in getItemRequest
	if err := json.Unmarshal(body, &in); err != nil {
		tableError(w, "SerializationException", err.Error())
		return
	}
	item, err := s.Memory.Get(ctx, in.Key["key"].S)
	var missing *platform.NotFoundError
	out := getItemResponse{}
	switch {
	case errors.As(err, &missing):
	case err != nil:
		dropConnection(w)
		return
	default:
		out.Item = map[string]attribute{
			"key": {S: item.Key}, "version": {N: strconv.FormatUint(item.Version, 10)}, "value": {B: item.Value},
		}
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Server) putItem(ctx context.Context, w http.ResponseWriter, body []byte) {
	var in putItemRequest
	if err := json.Unmarshal(body, &in); err != nil {
		tableError(w, "SerializationException", err.Error())
		return
	}
	version, err := strconv.ParseUint(in.Item["version"].N, 10, 64)
	if err != nil {
		tableError(w, "ValidationException", "version is no number")
		return
	}
	err = s.Memory.Put(ctx, platform.Item{Key: in.Item["key"].S, Version: version, Value: in.Item["value"].B})
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		tableError(w, "ConditionalCheckFailedException", "The conditional request failed")
	case err != nil:
		dropConnection(w)
	default:
		w.Header().Set("Content-Type", "application/x-amz-json-1.0")
		_, _ = w.Write([]byte("{}"))
	}
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// objectError is the body of an error answer of the S3 protocol.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// serveObject reads or writes an object. The first element of the path is the
// bucket, which is ignored.
func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, body []byte) {
	key := strings.TrimPrefix(r.URL.Path, "/")
	if _, rest, ok := strings.Cut(key, "/"); ok {
		key = rest
	}
	objects := s.Memory.Objects()
	switch r.Method {
	case http.MethodPut:
		if err := objects.Put(r.Context(), key, body); err != nil {
			dropConnection(w)
		}
	case http.MethodGet:
		s.getObject(w, r, key)
	default:
		http.Error(w, "not served", http.StatusMethodNotAllowed)
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, key string) {
	content, err := s.Memory.Objects().Get(r.Context(), key)
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_ = xml.NewEncoder(w).Encode(objectError{Code: "NoSuchKey", Message: "The specified key does not exist."})
	case err != nil:
		dropConnection(w)
	default:
		_, _ = w.Write(content)
	}
}

func (s *Server) listInstances(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.instances)
}
