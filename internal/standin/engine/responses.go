package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

// failure is an error response.
type failure struct {
	status  int
	code    string
	message string
}

var (
	errCrashed       = &failure{http.StatusServiceUnavailable, "crashed", "the engine has crashed"}
	errVersion       = &failure{http.StatusNotFound, "version_not_loaded", "the version is not loaded"}
	errTooLong       = &failure{http.StatusBadRequest, "too_long", "the request exceeds the engine's memory"}
	errInjected      = &failure{http.StatusInternalServerError, "injected", "injected error"}
	errVersionFailed = &failure{http.StatusInternalServerError, "version_failed", "the version failed"}
	errCancelled     = &failure{499, "cancelled", "the stream was cancelled"}
	errNoStream      = &failure{http.StatusNotFound, "no_stream", "the engine does not have the stream"}
	errNoBlock       = &failure{http.StatusNotFound, "no_block", "the block or one before it is not cached"}
	errNoMemory      = &failure{http.StatusInsufficientStorage, "no_memory", "the cache has no room for the blocks"}
)

func badRequest(text string) *failure {
	return &failure{http.StatusBadRequest, "bad_request", text}
}

type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeFailure(w http.ResponseWriter, f *failure) {
	writeJSON(w, f.status, failureBody{failureDetail{f.code, f.message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}
