package rollout

import (
	"errors"
	"fmt"
	"strings"

	"lilacrill/internal/apierror"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// ErrStale says that the rollout has changed since the version that a change was made
// from.
var ErrStale = errors.New("stale version: read the rollout again")

// notReady is the conflict of an activation that controllers block.
func notReady(blockers []Blocker) error {
	reasons := make([]string, 0, len(blockers))
	for _, blocker := range blockers {
		reasons = append(reasons, blocker.Label+" "+blocker.Reason)
	}
	return apierror.Conflict("not all controllers are ready for it: %s", strings.Join(reasons, "; "))
}

// UnreadableError says that a format is in force that this process does not read. It must not
// serve.
type UnreadableError struct {
	Format  wire.Format
	Formats record.FormatRange
	Cause   error // set if the record of the format in force could not be decoded
}

// Error implements error.
func (e *UnreadableError) Error() string {
	if e.Cause != nil {
		return "the format in force cannot be found out: " + e.Cause.Error()
	}
	return fmt.Sprintf("format %d is in force, and this process reads formats %d to %d: start a newer release, or one without a lower newest_format",
		e.Format, e.Formats.Oldest, e.Formats.Newest)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }
