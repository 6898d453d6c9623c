package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStatusAndText checks the HTTP status and the text of each kind of error.
func TestStatusAndText(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		text   string
	}{
		{Field("to", "%q is too long", "x"), http.StatusBadRequest, `to: "x" is too long`},
		{fmt.Errorf("move: %w", Field("to", "missing")), http.StatusBadRequest, "move: to: missing"},
		{NotFound("shard: %d", 40), http.StatusNotFound, "no such shard: 40"},
		{Conflict("%s is down", "rig-1"), http.StatusConflict, "rig-1 is down"},
		{errors.New("stale version"), http.StatusConflict, "stale version"},
	} {
		require.Equal(t, c.status, Status(c.err), c.text)
		require.EqualError(t, c.err, c.text)
	}
}
