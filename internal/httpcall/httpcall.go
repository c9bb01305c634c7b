// Package httpcall makes one bounded HTTP call with JSON bodies.
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

// Do sends a request, with body as JSON unless it is nil, and reads at most limit
// bytes of the answer. After an error the request may have been carried out.
func Do(client *http.Client, timeout time.Duration, method, url string, body any, maxBytes int64) (status int, responseBody []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if reader != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	return resp.StatusCode, data, err
}

// ConnectionRefused says whether a call failed because the connection was refused. Nothing was sent
// then.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
