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
	"opaldale/internal/transport"
)

// requestTimeout bounds every request, whatever becomes of it.
const requestTimeout = 4 * time.Second

// frontend serves users, workers and health checks.
type frontend struct {
	server  *Server
	metrics *metrics
}

// handler returns what answers requests on the node's address.
func (s *Server) handler() http.Handler {
	f := &frontend{server: s, metrics: newMetrics(s)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/runs", f.admit(transport.SubmitJob, f.forwardBody(transport.SubmitJob)))
	mux.HandleFunc("GET /v2/runs/{id}", f.admit(transport.GetJob, f.forwardJobID(transport.GetJob)))
	mux.HandleFunc("POST /v2/runs/{id}/cancel", f.admit(transport.CancelJob, f.forwardJobID(transport.CancelJob)))
	mux.HandleFunc("POST /checkin", f.admit(transport.WorkerHeartbeat, f.forwardBody(transport.WorkerHeartbeat)))
	mux.HandleFunc("GET /up", f.health)
	mux.HandleFunc("GET /links", f.links)
	mux.HandleFunc("GET /moves", f.moves)
	mux.Handle("GET /metrics", f.metrics.handler())
	return mux
}

// admit refuses what a node that is overloaded can't take, before it is read.
func (f *frontend) admit(method transport.Method, next http.HandlerFunc) http.HandlerFunc {
	admission := &f.server.admission
	return func(w http.ResponseWriter, r *http.Request) {
		if !admission.acquire(method) {
			f.metrics.shed.WithLabelValues(methodNames[method]).Inc()
			writeResponse(w, overloadedResponse)
			return
		}
		defer admission.release(method)
		next(w, r)
	}
}

// forwardBody passes on a request whose body says what it is about.
func (f *frontend) forwardBody(method transport.Method) http.HandlerFunc {
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
		f.serve(method, w, "", body)
	}
}

// forwardJobID passes on a request about the job that the path names, and answers 404 for
// what can't be a job.
func (f *frontend) forwardJobID(method transport.Method) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := ident.ParseJobID(r.PathValue("id"))
		if err != nil {
			writeJSON(w, http.StatusNotFound, api.ErrorResponse{Error: "no such job"})
			return
		}
		f.serve(method, w, string(id), nil)
	}
}

// serve passes a request to the controller and writes its answer.
func (f *frontend) serve(method transport.Method, w http.ResponseWriter, jobID string, body []byte) {
	start := time.Now()
	response := f.dispatch(method, jobID, body)
	// Judged once more right before it goes out: the process may have stood still.
	response = response.IfValid(f.server.loop.now())
	if method == transport.WorkerHeartbeat && f.server.connLimiter.nearLimit() {
		// The next report makes a connection of its own: most are idle for most of
		// the time between two.
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, response)
	f.metrics.observe(method, response.Status, time.Since(start))
}

// dispatch has the loop handle a request and waits for its answer.
func (f *frontend) dispatch(method transport.Method, jobID string, body []byte) controller.Response {
	responses := make(chan controller.Response, 1)
	post := f.server.loop.post
	if method == transport.WorkerHeartbeat || method == transport.CancelJob {
		post = f.server.loop.postUrgent
	}
	post(func() {
		f.server.controller.HandleRequest(method, jobID, body, func(a controller.Response) {
			select {
			case responses <- a:
			default:
			}
		})
	})
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case a := <-responses:
		return a
	case <-timer.C:
		return controller.Response{
			Status:      http.StatusServiceUnavailable,
			RetryAfterS: 1,
			Body:        api.JSON(api.ErrorResponse{Error: "no answer in time"}),
		}
	}
}

// health answers the load balancer's probes.
func (f *frontend) health(w http.ResponseWriter, _ *http.Request) {
	loop := f.server.loop
	if !query(loop, loop.postUrgent, f.server.controller.Healthy) {
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

// writeResponse writes an answer of the controller.
func writeResponse(w http.ResponseWriter, response controller.Response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	if response.RetryAfterS > 0 {
		h.Set("Retry-After", strconv.Itoa(response.RetryAfterS))
	}
	w.WriteHeader(response.Status)
	w.Write(response.Body)
}
