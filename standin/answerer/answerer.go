// Package answerer reads and writes the JSON bodies that all stand-ins share.
package answerer

import (
	"encoding/json"
	"io"
	"net/http"
)

// Ran is the header that says whether a refused request ran, and No its value if it did not.
const (
	Ran = "Ran"
	No  = "no"
)

// errorBody is the body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// JSON responds with a status and v as JSON.
func JSON[T any](w http.ResponseWriter, status int, v T) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// Error responds with an error.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

// Refuse responds with an error and the header that says that the request did not run.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(Ran, No)
	Error(w, status, code, message)
}

// Read decodes a request body of at most limit bytes. If that fails, it responds with 400
// or 413 and returns false.
func Read[T any](w http.ResponseWriter, r *http.Request, limit int64) (v T, ok bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		Refuse(w, http.StatusRequestEntityTooLarge, "body", err.Error())
		return v, false
	}
	if err := json.Unmarshal(data, &v); err != nil {
		Refuse(w, http.StatusBadRequest, "body", err.Error())
		return v, false
	}
	return v, true
}
