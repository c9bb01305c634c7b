package server

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/mesh"
)

// lastAnswer bounds every request, whatever becomes of it.
const lastAnswer = 4 * time.Second

func (s *Server) handler() http.Handler {
	m := newMetrics(s)
	write := func(w http.ResponseWriter, a controller.Reply) {
		h := w.Header()
		h.Set("Content-Type", "application/json")
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		if a.Retry > 0 {
			h.Set("Retry-After", strconv.Itoa(a.Retry))
		}
		w.WriteHeader(a.Status)
		w.Write(a.Body)
	}
	// ask passes a request to the controller.
	ask := func(v mesh.Verb, w http.ResponseWriter, r *http.Request, job string, body []byte) {
		began := time.Now()
		ch := make(chan controller.Reply, 1)
		post := s.loop.post
		if v == mesh.Checkin || v == mesh.Cancel {
			post = s.loop.postUrgent
		}
		post(func() {
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
		if v == mesh.Checkin && s.sockets.crowded() {
			// The next report makes a connection of its own: most are idle for most of
			// the time between two.
			w.Header().Set("Connection", "close")
		}
		write(w, a)
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
	// admit refuses what a node that is overloaded can't take, before it is read.
	admit := func(v mesh.Verb, next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if !s.admission.begin(v) {
				m.shed.WithLabelValues(verbNames[v]).Inc()
				write(w, overloaded)
				return
			}
			defer s.admission.end(v)
			next(w, r)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/runs", admit(mesh.Submit, func(w http.ResponseWriter, r *http.Request) {
		if b, ok := read(w, r); ok {
			ask(mesh.Submit, w, r, "", b)
		}
	}))
	mux.HandleFunc("GET /v2/runs/{id}", admit(mesh.Poll, func(w http.ResponseWriter, r *http.Request) {
		if id, ok := jobID(w, r); ok {
			ask(mesh.Poll, w, r, id, nil)
		}
	}))
	mux.HandleFunc("POST /v2/runs/{id}/cancel", admit(mesh.Cancel, func(w http.ResponseWriter, r *http.Request) {
		if id, ok := jobID(w, r); ok {
			ask(mesh.Cancel, w, r, id, nil)
		}
	}))
	mux.HandleFunc("POST /checkin", admit(mesh.Checkin, func(w http.ResponseWriter, r *http.Request) {
		if b, ok := read(w, r); ok {
			ask(mesh.Checkin, w, r, "", b)
		}
	}))
	mux.HandleFunc("GET /up", func(w http.ResponseWriter, r *http.Request) {
		ch := make(chan bool, 1)
		s.loop.postUrgent(func() { ch <- s.ctl.Healthy() })
		if !<-ch {
			writeJSON(w, http.StatusServiceUnavailable, api.Problem{Error: "cut off"})
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", m.handler())
	return mux
}
