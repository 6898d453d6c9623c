package rollout

import (
	"errors"
	"strings"
)

// ErrStale says that the rollout has changed since the version that a change was made
// from.
var ErrStale = errors.New("stale version: read the rollout again")

// FieldError says which field of a request is wrong, and why.
type FieldError struct {
	Field string
	Why   string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

// ConflictError says why a change cannot be made as things stand.
type ConflictError struct {
	Why      string
	Blockers []Blocker
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString(e.Why)
	for i, blocker := range e.Blockers {
		b.WriteString([]string{": ", "; "}[min(i, 1)])
		b.WriteString(blocker.Label + " " + blocker.Reason)
	}
	return b.String()
}
