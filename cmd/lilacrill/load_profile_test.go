package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"syscall"
	"testing"
)

// profileVariable is the environment variable that names the directory to which a controller of the
// load benchmark writes its profiles. If it is set, the test binary runs as a controller.
const profileVariable = "LILACRILL_LOAD_PROFILES"

// controllerVariable is the environment variable that makes the test binary run as a controller
// without profiles.
const controllerVariable = "LILACRILL_TEST_CONTROLLER"

// TestMain runs the tests or, in a child process of a test, a controller.
func TestMain(m *testing.M) {
	if os.Getenv(controllerVariable) != "" {
		main()
		return
	}
	dir := os.Getenv(profileVariable)
	if dir == "" {
		exitOnInterrupt()
		os.Exit(m.Run())
	}
	if err := runProfiledController(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// memoryStats holds the memory statistics that a controller reports at the end of a phase.
// Allocations, Bytes and Collections are totals since the start of its process.
type memoryStats struct {
	Allocations uint64
	Bytes       uint64
	Collections uint32
	HeapMB      float64
	SystemMB    float64
}

// runProfiledController runs the command line. On SIGUSR1 it closes the CPU profile of the phase
// that ends, writes the heap profile and the memory statistics, and starts the next phase.
func runProfiledController(dir string) error {
	phase := 0
	name := func(kind string) string {
		return filepath.Join(dir, fmt.Sprintf("%d-%d.%s", os.Getpid(), phase, kind))
	}
	start := func() error {
		out, err := os.Create(name("cpu"))
		if err != nil {
			return err
		}
		return pprof.StartCPUProfile(out)
	}
	if err := start(); err != nil {
		return err
	}
	next := make(chan os.Signal, 1)
	signal.Notify(next, syscall.SIGUSR1)
	go func() {
		for range next {
			pprof.StopCPUProfile()
			if err := writeMemoryProfile(name); err != nil {
				panic(err)
			}
			phase++
			if err := start(); err != nil {
				panic(err)
			}
		}
	}()
	return rootCommand().Execute()
}

// writeMemoryProfile writes the heap profile and the memory statistics. The parameter name returns
// the path of the file for a kind of data.
func writeMemoryProfile(name func(kind string) string) error {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	heap, err := os.Create(name("heap"))
	if err != nil {
		return err
	}
	if err := errors.Join(pprof.Lookup("heap").WriteTo(heap, 0), heap.Close()); err != nil {
		return err
	}
	const megabyte = 1 << 20
	stats, err := json.Marshal(memoryStats{Allocations: mem.Mallocs, Bytes: mem.TotalAlloc, Collections: mem.NumGC,
		HeapMB: float64(mem.HeapAlloc) / megabyte, SystemMB: float64(mem.Sys) / megabyte})
	if err != nil {
		return err
	}
	// The file is renamed into place, so that a reader that waits for it never reads a partial file.
	partial := name("partial")
	if err := os.WriteFile(partial, stats, 0o600); err != nil {
		return err
	}
	return os.Rename(partial, name("json"))
}
