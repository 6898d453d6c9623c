package rollout

import (
	"errors"
	"fmt"
	"strings"

	"lilacrill/internal/apierror"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// ErrStale is returned if the rollout record has changed since the version on which a change is
// based.
var ErrStale = errors.New("stale version: read the rollout again")

// notReadyError returns the conflict error for an activation that is blocked by controllers.
func notReadyError(blockers []Blocker) error {
	reasons := make([]string, 0, len(blockers))
	for _, blocker := range blockers {
		reasons = append(reasons, blocker.Label+" "+blocker.Reason)
	}
	return apierror.Conflict("not all controllers are ready for it: %s", strings.Join(reasons, "; "))
}

// UnreadableError is returned if this process cannot read the format in force and so must not
// serve.
type UnreadableError struct {
	Format  wire.Format
	Formats record.FormatRange
	Cause   error // set if the record of the format in force could not be decoded
}

// Error implements the error interface.
func (e *UnreadableError) Error() string {
	if e.Cause != nil {
		return "the format in force cannot be found out: " + e.Cause.Error()
	}
	return fmt.Sprintf("format %d is in force, and this process reads formats %d to %d: start a newer release, or one without a lower newest_format",
		e.Format, e.Formats.Oldest, e.Formats.Newest)
}

// Unwrap returns the error's cause, or nil.
func (e *UnreadableError) Unwrap() error { return e.Cause }
