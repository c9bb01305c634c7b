// Package httpcall sends HTTP requests with JSON bodies. It limits the duration of each call and the size of
// the response.
package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"
)

// Call is an HTTP request with limits on its response.
type Call struct {
	Method string
	URL    string
	Body   any // encoded as JSON; nil for a request without a body

	Timeout          time.Duration // of the whole call, including reading the response body
	MaxResponseBytes int64         // longer response bodies are truncated without an error
}

// Do sends the request and returns the status and the body of the response. After an error the server may
// still have processed the request, unless ConnectionRefused returns true for the error.
func (c Call) Do(client *http.Client) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := c.newRequest(ctx)
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, c.MaxResponseBytes))
	return response.StatusCode, body, err
}

func (c Call) newRequest(ctx context.Context) (*http.Request, error) {
	if c.Body == nil {
		return http.NewRequestWithContext(ctx, c.Method, c.URL, nil)
	}
	encoded, err := json.Marshal(c.Body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// ConnectionRefused reports whether a call failed because the connection was refused, in which case the
// request was not sent.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
