package shard

import "fmt"

// NotFoundError says that there is no such share or controller.
type NotFoundError struct{ What string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no such " + e.What }

// InvalidFieldError says which field of a request is wrong, and why.
type InvalidFieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Reason }

// ConflictError says why a change cannot be made as things stand.
type ConflictError struct{ Reason string }

// Error implements error.
func (e *ConflictError) Error() string { return e.Reason }

func conflict(format string, args ...any) error {
	return &ConflictError{fmt.Sprintf(format, args...)}
}
