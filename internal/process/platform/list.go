package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxListSize is the maximum size of the instance list that is read, in bytes.
const maxListSize = 4 << 20

// HTTPList is an InstanceList that is read as JSON over HTTP.
type HTTPList struct {
	url    string
	client *http.Client
}

// NewHTTPList returns the instance list at url.
func NewHTTPList(url string) *HTTPList { return &HTTPList{url: url, client: &http.Client{}} }

// Instances implements InstanceList.
func (l *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, &UnavailableError{Service: "list of instances", Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Service: "list of instances", Cause: errors.New(response.Status)}
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListSize)).Decode(&instances); err != nil {
		return nil, &UnavailableError{Service: "list of instances", Cause: err}
	}
	return instances, nil
}

// Close closes idle connections.
func (l *HTTPList) Close() { l.client.CloseIdleConnections() }
