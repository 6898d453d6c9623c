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

// profileVariable names the folder to which a controller of the load benchmark
// writes its profiles. Set, it makes the test binary a controller.
const profileVariable = "LILACRILL_LOAD_PROFILES"

// controllerVariable, if set, makes the test binary a controller without profiles.
const controllerVariable = "LILACRILL_TEST_CONTROLLER"

// TestMain runs the tests, or in a child of one of them a controller.
func TestMain(m *testing.M) {
	if os.Getenv(controllerVariable) != "" {
		main()
		return
	}
	dir := os.Getenv(profileVariable)
	if dir == "" {
		os.Exit(m.Run())
	}
	if err := runProfiledController(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// memoryStats is what a controller counted of itself by the end of a phase.
type memoryStats struct {
	Allocations uint64
	Bytes       uint64
	Collections uint32
	HeapMB      float64
	SystemMB    float64
}

// runProfiledController runs the command line. At SIGUSR1 it closes the processor
// profile of the phase that ends, and writes what it counted and its heap.
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
	counts, err := json.Marshal(memoryStats{Allocations: mem.Mallocs, Bytes: mem.TotalAlloc, Collections: mem.NumGC,
		HeapMB: float64(mem.HeapAlloc) / megabyte, SystemMB: float64(mem.Sys) / megabyte})
	if err != nil {
		return err
	}
	// Renamed into place, so that a reader that waits for the file never reads half of it.
	partial := name("partial")
	if err := os.WriteFile(partial, counts, 0o600); err != nil {
		return err
	}
	return os.Rename(partial, name("json"))
}
