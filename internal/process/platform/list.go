package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const maxList = 4 << 20

// HTTPList is the platform's list of instances, read as JSON.
type HTTPList struct {
	url    string
	client *http.Client
}

// NewHTTPList returns the list at url.
func NewHTTPList(url string) *HTTPList { return &HTTPList{url: url, client: &http.Client{}} }

// Instances implements List.
func (l *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := l.client.Do(request)
	if err != nil {
		return nil, &UnavailableError{Service: "list of instances", Cause: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Service: "list of instances", Cause: errors.New(answer.Status)}
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxList)).Decode(&instances); err != nil {
		return nil, &UnavailableError{Service: "list of instances", Cause: err}
	}
	return instances, nil
}

// Close ends the list's idle connections.
func (l *HTTPList) Close() { l.client.CloseIdleConnections() }
