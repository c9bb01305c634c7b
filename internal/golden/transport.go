package golden

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Transport is an http.RoundTripper that gives every request the same response and keeps the
// newest request as text.
type Transport struct {
	Status        int    // of the response
	Body          string // of the response
	NewestRequest string // the newest request: a line with method, URL and content type, then the body
}

// RoundTrip returns the response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.NewestRequest = fmt.Sprintf("%s %s %s\n", r.Method, r.URL, r.Header.Get("Content-Type"))
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		t.NewestRequest += string(body) + "\n"
	}
	return &http.Response{
		StatusCode: t.Status,
		Status:     http.StatusText(t.Status),
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(t.Body)),
		Request:    r,
	}, nil
}
