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
	// requestTimeout bounds the time to answer any request.
	requestTimeout = 4 * time.Second
	// timeoutRetryAfterS is after how many seconds a request that timed out should be repeated.
	timeoutRetryAfterS = 1
)

// timeoutError is the body of a response to a request that timed out.
var timeoutError = api.ErrorResponse{Error: "no answer in time"}

// frontend serves users, workers, health checks and operators.
type frontend struct {
	server  *Server
	metrics *metrics
}

// handler returns the handler of the requests to the node's address.
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

// admit refuses requests while the node is overloaded, before their bodies are read.
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

// forwardBody handles requests with a body.
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

// forwardJobID handles requests about the job that the path names. It answers 404 for what can't be
// the identifier of a job.
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

// serve has the controller handle a request, and writes its response.
func (f *frontend) serve(method transport.Method, w http.ResponseWriter, jobID string, body []byte) {
	start := time.Now()
	response := f.dispatch(method, jobID, body)
	// The process may have been suspended, and leadership lost, since the response was computed.
	response = response.IfValid(f.server.loop.now())
	if method == transport.WorkerHeartbeat && f.server.connLimiter.nearLimit() {
		// The next heartbeat opens a connection of its own: between two heartbeats the connection
		// would be idle.
		w.Header().Set("Connection", "close")
	}
	writeResponse(w, response)
	f.metrics.observe(method, response.Status, time.Since(start))
}

// dispatch has the event loop handle a request, and waits for the response.
func (f *frontend) dispatch(method transport.Method, jobID string, body []byte) controller.Response {
	post := f.server.loop.post
	if isUrgent(method) {
		post = f.server.loop.postUrgent
	}
	responses := begin(post, func(done func(controller.Response)) {
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

// isUrgent says whether requests of a kind precede those of users: workers' leases and their work
// depend on them.
func isUrgent(method transport.Method) bool {
	return method == transport.WorkerHeartbeat || method == transport.CancelJob
}

// health answers the probes of a load balancer.
func (f *frontend) health(w http.ResponseWriter, _ *http.Request) {
	loop := f.server.loop
	if !query(loop, loop.postUrgent, f.server.controller.Healthy) {
		writeJSON(w, http.StatusServiceUnavailable, api.ErrorResponse{Error: "cut off"})
		return
	}
	w.WriteHeader(http.StatusOK)
}

// links shows operators the state of the node's links.
func (f *frontend) links(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.server.linkReport())
}

// moves shows operators the moves of running tasks.
func (f *frontend) moves(w http.ResponseWriter, r *http.Request) {
	report, ok := f.server.moveReport(r.Context())
	if !ok {
		writeJSON(w, http.StatusServiceUnavailable, timeoutError)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

// writeResponse writes a response of the controller.
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
