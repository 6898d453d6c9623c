package controller

import (
	"testing"

	"lilacrill/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }
