package golden

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Transport is an http.RoundTripper that returns the same response to every request and records
// the newest request as text.
type Transport struct {
	Status        int    // HTTP status code of the response
	Body          string // body of the response
	NewestRequest string // a line with method, URL and content type, then the body
}

// RoundTrip records the request and returns the response.
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
