package server

import (
	"context"
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

const (
	// requestTimeout is the maximum time that the controller may take to respond to a request.
	requestTimeout = 4 * time.Second
	// timeoutRetryAfterS is the Retry-After header, in seconds, of the response to a request that timed out.
	timeoutRetryAfterS = 1
)

// timeoutError is the body of the response to a request that timed out.
var timeoutError = api.ErrorResponse{Error: "no answer in time"}

// frontend serves the HTTP API to users, workers, load balancers and operators.
type frontend struct {
	server  *Server
	metrics *metrics
}

// handler returns the HTTP handler of the node.
func (s *Server) handler() http.Handler {
	f := &frontend{server: s, metrics: newMetrics(s)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/runs", f.withAdmission(transport.SubmitJob, f.forwardBody(transport.SubmitJob)))
	mux.HandleFunc("GET /v2/runs/{id}", f.withAdmission(transport.GetJob, f.forwardJobID(transport.GetJob)))
	mux.HandleFunc("POST /v2/runs/{id}/cancel", f.withAdmission(transport.CancelJob, f.forwardJobID(transport.CancelJob)))
	mux.HandleFunc("POST /checkin", f.withAdmission(transport.WorkerHeartbeat, f.forwardBody(transport.WorkerHeartbeat)))
	mux.HandleFunc("GET /up", f.health)
	mux.HandleFunc("GET /links", f.links)
	mux.HandleFunc("GET /moves", f.moves)
	mux.Handle("GET /metrics", f.metrics.handler())
	return mux
}

// withAdmission wraps a handler with admission control, which rejects requests before their bodies are read.
func (f *frontend) withAdmission(method transport.Method, next http.HandlerFunc) http.HandlerFunc {
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

// forwardBody returns a handler that passes a request with its body to the controller.
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
		f.serve(w, method, "", body)
	}
}

// forwardJobID returns a handler that passes a request with the job ID in its path to the controller.
// The handler responds with 404 if the ID is malformed.
func (f *frontend) forwardJobID(method transport.Method) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := ident.ParseJobID(r.PathValue("id"))
		if err != nil {
			writeJSON(w, http.StatusNotFound, api.ErrorResponse{Error: "no such job"})
			return
		}
		f.serve(w, method, string(id), nil)
	}
}

// serve passes a request to the controller, and writes the response.
func (f *frontend) serve(w http.ResponseWriter, method transport.Method, jobID string, body []byte) {
	start := time.Now()
	response := f.dispatch(method, jobID, body)
	// The process may have been suspended since the response was computed, and may have lost its
	// leadership meanwhile.
	response = response.IfValid(f.server.loop.now())
	if method == transport.WorkerHeartbeat && f.server.connLimiter.nearLimit() {
		// The connection would be idle until the next heartbeat. The worker opens a new one then.
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, response)
	f.metrics.observe(method, response.Status, time.Since(start))
}

// dispatch passes a request to the controller on the event loop and waits for the response. It returns
// a response with status 503 if there is none within requestTimeout.
func (f *frontend) dispatch(method transport.Method, jobID string, body []byte) controller.Response {
	post := f.server.loop.post
	if isUrgent(method) {
		post = f.server.loop.postUrgent
	}
	responses := startOperation(post, func(done func(controller.Response)) {
		f.server.controller.HandleRequest(method, jobID, body, done)
	})
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	response, ok := await(ctx, responses)
	if !ok {
		return controller.Response{
			Status:      http.StatusServiceUnavailable,
			RetryAfterS: timeoutRetryAfterS,
			Body:        api.JSON(timeoutError),
		}
	}
	return response
}

// isUrgent reports whether requests of this kind are urgent events. Worker leases depend on heartbeats,
// and running tasks on cancellations.
func isUrgent(method transport.Method) bool {
	return method == transport.WorkerHeartbeat || method == transport.CancelJob
}

// health responds to the health checks of load balancers.
func (f *frontend) health(w http.ResponseWriter, _ *http.Request) {
	loop := f.server.loop
	if !query(loop, loop.postUrgent, f.server.controller.Healthy) {
		writeJSON(w, http.StatusServiceUnavailable, api.ErrorResponse{Error: "cut off"})
		return
	}
	w.WriteHeader(http.StatusOK)
}

// links serves the report on the node's links.
func (f *frontend) links(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.server.linkReport())
}

// moves serves the report on moves of running tasks.
func (f *frontend) moves(w http.ResponseWriter, r *http.Request) {
	report, ok := f.server.moveReport(r.Context())
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, timeoutError)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

// writeResponse writes a response returned by the controller.
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
