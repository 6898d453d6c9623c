package main

import (
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
)

// exitInterrupted is the exit status of a test binary that was interrupted.
const exitInterrupted = 130

// interruptCleanup removes what running tests would leave behind if the test binary is interrupted:
// processes and directories.
var interruptCleanup cleanupList

// cleanupList is a list of functions that are called when the test binary is interrupted.
type cleanupList struct {
	mu    sync.Mutex
	steps []*func()
}

// add adds a function, and returns one that removes it again.
func (c *cleanupList) add(step func()) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := &step
	c.steps = append(c.steps, entry)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.steps = slices.DeleteFunc(c.steps, func(other *func()) bool { return other == entry })
	}
}

// run calls all functions. No other can be added or removed after that.
func (c *cleanupList) run() {
	c.mu.Lock()
	for _, step := range c.steps {
		(*step)()
	}
}

// exitOnInterrupt makes the test binary clean up and exit when it is interrupted.
func exitOnInterrupt() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		interruptCleanup.run()
		os.Exit(exitInterrupted)
	}()
}
