package golden

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Transport answers all HTTP requests alike, and keeps the newest in text.
type Transport struct {
	Status int
	Body   string
	Saw    string // method, URL and content type, then the body
}

// RoundTrip answers a request.
func (s *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.Saw = fmt.Sprintf("%s %s %s\n", r.Method, r.URL, r.Header.Get("Content-Type"))
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		s.Saw += string(body) + "\n"
	}
	return &http.Response{
		StatusCode: s.Status,
		Status:     http.StatusText(s.Status),
		Header:     http.Header{},
		Body:       io.NopCloser(strings.NewReader(s.Body)),
		Request:    r,
	}, nil
}
