// Package apierror defines the errors with which requests and settings are rejected.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
)

// FieldError says which field of a request or a file is invalid, and why.
type FieldError struct {
	Field  string // the name in the request or the file, or "body" for a request as a whole
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Field returns a *FieldError whose reason is formatted as by fmt.Sprintf.
func Field(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// NotFoundError says that a resource that a request refers to does not exist.
type NotFoundError struct {
	Resource string // kind and name, as in `shard: 40`
}

// Error implements error.
func (e *NotFoundError) Error() string { return "no such " + e.Resource }

// NotFound returns a *NotFoundError whose resource is formatted as by fmt.Sprintf.
func NotFound(format string, args ...any) error {
	return &NotFoundError{Resource: fmt.Sprintf(format, args...)}
}

// ConflictError says why a change cannot be made in the current state. The change may be possible
// later.
type ConflictError struct {
	Reason string
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Reason }

// Conflict returns a *ConflictError whose reason is formatted as by fmt.Sprintf.
func Conflict(format string, args ...any) error {
	return &ConflictError{Reason: fmt.Sprintf(format, args...)}
}

// Status returns the HTTP status of the response to a change that failed with err: 400 for a
// FieldError, 404 for a NotFoundError and 409 for any other error.
func Status(err error) int {
	var field *FieldError
	var notFound *NotFoundError
	switch {
	case errors.As(err, &field):
		return http.StatusBadRequest
	case errors.As(err, &notFound):
		return http.StatusNotFound
	default:
		return http.StatusConflict
	}
}
