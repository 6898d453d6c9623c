package main

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/controller"
)

// TestLongStepsAreLoggedOnceAnInterval guards against a log that fills while the event loop is
// overloaded. The first long step is logged at once, then the longest of each interval.
func TestLongStepsAreLoggedOnceAnInterval(t *testing.T) {
	var output bytes.Buffer
	log := slog.New(slog.NewTextHandler(&output, nil))
	var steps longSteps
	now := time.Now()
	steps.add(log, now, controller.Tick{}, 300*time.Millisecond)
	steps.add(log, now.Add(time.Second), controller.HeartbeatReceived{}, 2*time.Second)
	steps.add(log, now.Add(longStepLogInterval-1), controller.Tick{}, time.Second)
	require.Equal(t, 1, strings.Count(output.String(), "took=300ms count=1"))
	steps.add(log, now.Add(longStepLogInterval), controller.Tick{}, time.Second)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[1], "input=controller.HeartbeatReceived took=2s count=3")
}
