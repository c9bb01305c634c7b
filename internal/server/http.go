package server

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
)

const (
	// maxInflight bounds the requests that wait for the loop.
	maxInflight = 600
	// maxLag is how far the loop may lag behind before users are refused; checkins
	// are not, for losing them loses work.
	maxLag = 700 * time.Millisecond
	// lastAnswer bounds every request, whatever becomes of it.
	lastAnswer = 4 * time.Second
)

func (s *Server) handler() http.Handler {
	var inflight atomic.Int64
	m := newMetrics(s)
	// ask passes a request to the controller.
	ask := func(v mesh.Verb, w http.ResponseWriter, r *http.Request, job string, body []byte) {
		began := time.Now()
		if n := inflight.Add(1); n > maxInflight || v != mesh.Checkin && s.loop.Lag() > maxLag {
			inflight.Add(-1)
			m.shed.Inc()
			w.Header().Set("Retry-After", "2")
			writeJSON(w, http.StatusServiceUnavailable, api.Problem{Error: "overloaded"})
			return
		}
		defer inflight.Add(-1)
		ch := make(chan controller.Reply, 1)
		s.loop.post(func() {
			s.ctl.Request(v, job, body, func(a controller.Reply) {
				select {
				case ch <- a:
				default:
				}
			})
		})
		var a controller.Reply
		t := time.NewTimer(lastAnswer)
		defer t.Stop()
		select {
		case a = <-ch:
		case <-t.C:
			a = controller.Reply{Status: http.StatusServiceUnavailable, Retry: 1, Body: api.JSON(api.Problem{Error: "no answer in time"})}
		}
		a = a.Now(s.loop.now())
		h := w.Header()
		if v == mesh.Checkin && s.sockets.crowded() {
			// The next report makes a connection of its own: most are idle for most of
			// the time between two.
			h.Set("Connection", "close")
		}
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		if a.Retry > 0 {
			h.Set("Retry-After", strconv.Itoa(a.Retry))
		}
		w.WriteHeader(a.Status)
		w.Write(a.Body)
		m.observe(v, a.Status, time.Since(began))
	}
	// read reads a bounded body, or answers 400.
	read := func(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBody))
		if err != nil {
			text := "unreadable body"
			var big *http.MaxBytesError
			if errors.As(err, &big) {
				text = "body: over 64 KiB"
			}
			writeJSON(w, http.StatusBadRequest, api.Problem{Error: text})
		}
		return b, err == nil
	}
	// jobID answers 404 for what can't be a job.
	jobID := func(w http.ResponseWriter, r *http.Request) (string, bool) {
		id, err := ident.ParseJobID(r.PathValue("id"))
		if err != nil {
			writeJSON(w, http.StatusNotFound, api.Problem{Error: "no such job"})
		}
		return string(id), err == nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/runs", func(w http.ResponseWriter, r *http.Request) {
		if b, ok := read(w, r); ok {
			ask(mesh.Submit, w, r, "", b)
		}
	})
	mux.HandleFunc("GET /v2/runs/{id}", func(w http.ResponseWriter, r *http.Request) {
		if id, ok := jobID(w, r); ok {
			ask(mesh.Poll, w, r, id, nil)
		}
	})
	mux.HandleFunc("POST /v2/runs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if id, ok := jobID(w, r); ok {
			ask(mesh.Cancel, w, r, id, nil)
		}
	})
	mux.HandleFunc("POST /checkin", func(w http.ResponseWriter, r *http.Request) {
		if b, ok := read(w, r); ok {
			ask(mesh.Checkin, w, r, "", b)
		}
	})
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, r *http.Request) {
		ch := make(chan bool, 1)
		s.loop.post(func() { ch <- s.ctl.Healthy() })
		if !<-ch {
			writeJSON(w, http.StatusServiceUnavailable, api.Problem{Error: "cut off"})
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", m.handler())
	return mux
}
