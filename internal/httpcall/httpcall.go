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
func Do(c *http.Client, timeout time.Duration, method, url string, body any, limit int64) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var rd io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, nil, err
	}
	if rd != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	return resp.StatusCode, b, err
}

// Rejected says whether a call failed because the connection was refused. Nothing was sent
// then.
func Rejected(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
