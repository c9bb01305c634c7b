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

// frontend serves users, workers and health checks.
type frontend struct {
	server  *Server
	metrics *metrics
}

// handler returns what answers requests on the node's address.
func (s *Server) handler() http.Handler {
	f := &frontend{server: s, metrics: newMetrics(s)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/runs", f.admit(mesh.Submit, f.withBody(mesh.Submit)))
	mux.HandleFunc("GET /v2/runs/{id}", f.admit(mesh.Poll, f.withJob(mesh.Poll)))
	mux.HandleFunc("POST /v2/runs/{id}/cancel", f.admit(mesh.Cancel, f.withJob(mesh.Cancel)))
	mux.HandleFunc("POST /checkin", f.admit(mesh.Checkin, f.withBody(mesh.Checkin)))
	mux.HandleFunc("GET /up", f.health)
	mux.HandleFunc("GET /links", f.links)
	mux.HandleFunc("GET /moves", f.moves)
	mux.Handle("GET /metrics", f.metrics.handler())
	return mux
}

// admit refuses what a node that is overloaded can't take, before it is read.
func (f *frontend) admit(v mesh.Verb, next http.HandlerFunc) http.HandlerFunc {
	admission := &f.server.admission
	return func(w http.ResponseWriter, r *http.Request) {
		if !admission.begin(v) {
			f.metrics.shed.WithLabelValues(verbNames[v]).Inc()
			writeReply(w, overloaded)
			return
		}
		defer admission.end(v)
		next(w, r)
	}
}

// withBody passes on a request whose body says what it is about.
func (f *frontend) withBody(v mesh.Verb) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
		if err != nil {
			text := "unreadable body"
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				text = "body: over 64 KiB"
			}
			writeJSON(w, http.StatusBadRequest, api.ErrorResponse{Error: text})
			return
		}
		f.ask(v, w, "", body)
	}
}

// withJob passes on a request about the job that the path names, and answers 404 for
// what can't be a job.
func (f *frontend) withJob(v mesh.Verb) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := ident.ParseJobID(r.PathValue("id"))
		if err != nil {
			writeJSON(w, http.StatusNotFound, api.ErrorResponse{Error: "no such job"})
			return
		}
		f.ask(v, w, string(id), nil)
	}
}

// ask passes a request to the controller and writes its answer.
func (f *frontend) ask(v mesh.Verb, w http.ResponseWriter, job string, body []byte) {
	began := time.Now()
	a := f.answer(v, job, body)
	// Judged once more right before it goes out: the process may have stood still.
	a = a.Now(f.server.loop.now())
	if v == mesh.Checkin && f.server.sockets.crowded() {
		// The next report makes a connection of its own: most are idle for most of
		// the time between two.
		w.Header().Set("Connection", "close")
	}
	writeReply(w, a)
	f.metrics.observe(v, a.Status, time.Since(began))
}

// answer has the loop handle a request and waits for its answer.
func (f *frontend) answer(v mesh.Verb, job string, body []byte) controller.Reply {
	replies := make(chan controller.Reply, 1)
	post := f.server.loop.post
	if v == mesh.Checkin || v == mesh.Cancel {
		post = f.server.loop.postUrgent
	}
	post(func() {
		f.server.ctl.Request(v, job, body, func(a controller.Reply) {
			select {
			case replies <- a:
			default:
			}
		})
	})
	timer := time.NewTimer(lastAnswer)
	defer timer.Stop()
	select {
	case a := <-replies:
		return a
	case <-timer.C:
		return controller.Reply{
			Status: http.StatusServiceUnavailable,
			Retry:  1,
			Body:   api.JSON(api.ErrorResponse{Error: "no answer in time"}),
		}
	}
}

// health answers the load balancer's probes.
func (f *frontend) health(w http.ResponseWriter, _ *http.Request) {
	loop := f.server.loop
	if !ask(loop, loop.postUrgent, f.server.ctl.Healthy) {
		writeJSON(w, http.StatusServiceUnavailable, api.ErrorResponse{Error: "cut off"})
		return
	}
	w.WriteHeader(http.StatusOK)
}

// links shows operators what the node knows of its links.
func (f *frontend) links(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.server.linkReport())
}

// moves shows operators the moves of running tasks.
func (f *frontend) moves(w http.ResponseWriter, r *http.Request) {
	report, ok := f.server.moveReport(r.Context())
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, api.ErrorResponse{Error: "no answer in time"})
		return
	}
	writeJSON(w, http.StatusOK, report)
}

// writeReply writes an answer of the controller.
func writeReply(w http.ResponseWriter, a controller.Reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(a.Retry))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
