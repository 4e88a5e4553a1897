// Package answerer reads and writes the JSON bodies that all stand-ins share.
package answerer

import (
	"encoding/json"
	"io"
	"net/http"
)

// Ran is the header of an upstream's refusal; No says that nothing ran.
const (
	Ran = "Ran"
	No  = "no"
)

// errorBody is the shape of every error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// JSON answers v with a status.
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

// Error answers an error.
func Error(w http.ResponseWriter, status int, code, message string) {
	JSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

// Refuse answers an error before any work was done, and says so.
func Refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(Ran, No)
	Error(w, status, code, message)
}

// Read decodes a request's body of at most limit bytes into a T. Where it
// can't, it answers 400 or 413 and returns false.
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
