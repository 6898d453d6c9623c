package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteBudget checks that the budget holds at most the writes of one second, that large
// transactions overdraw it, and that writes that were not executed are returned to it.
func TestWriteBudget(t *testing.T) {
	const rate = 20
	var budget writeBudget
	budget.spend(Time(time.Minute), rate, 0)
	require.InDelta(t, rate, budget.available, 0)
	require.True(t, budget.affordsTransaction(rate))
	budget.spend(Time(time.Minute), rate, 30)
	require.InDelta(t, -10, budget.available, 0)
	require.False(t, budget.affordsTransaction(rate))
	budget.spend(Time(time.Minute+time.Second/2), rate, 0)
	require.InDelta(t, 0, budget.available, 1e-9)
	budget.spend(Time(time.Minute+time.Second/2), rate, -6)
	require.True(t, budget.affordsTransaction(rate))

	// If the writes allowed in a second are fewer than those of a typical transaction, the greater
	// part of them suffices.
	const lowRate = 2
	budget = writeBudget{available: 1.3, refilledAt: Time(time.Minute)}
	require.True(t, budget.affordsTransaction(lowRate))
	budget.available = 1.1
	require.False(t, budget.affordsTransaction(lowRate))
}
