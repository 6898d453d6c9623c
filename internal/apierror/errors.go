// Package apierror has the errors that requests, and settings, are refused with.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
)

// FieldError says which field of a request or a file is wrong, and why.
type FieldError struct {
	Field  string // as the sender names it; "body" for a request as a whole
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Field makes a FieldError whose reason is formatted as by fmt.Sprintf.
func Field(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// NotFoundError says that what a request names does not exist.
type NotFoundError struct {
	Resource string // kind and name, as in `shard: 40`
}

// Error implements error.
func (e *NotFoundError) Error() string { return "no such " + e.Resource }

// NotFound makes a NotFoundError whose text is formatted as by fmt.Sprintf.
func NotFound(format string, args ...any) error {
	return &NotFoundError{Resource: fmt.Sprintf(format, args...)}
}

// ConflictError says why a change cannot be made in the present state. It may be possible
// later.
type ConflictError struct {
	Reason string
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Reason }

// Conflict makes a ConflictError whose reason is formatted as by fmt.Sprintf.
func Conflict(format string, args ...any) error {
	return &ConflictError{Reason: fmt.Sprintf(format, args...)}
}

// Status is the HTTP status that tells a change's sender of an error: 400 for a
// FieldError, 404 for a NotFoundError and 409 for any other.
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
