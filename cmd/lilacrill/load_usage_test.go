package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/stretchr/testify/require"
)

// processUsage is what the system says of a process.
type processUsage struct {
	pid                int
	user, system       float64 // seconds
	switches           float64
	residentMB, peakMB float64
	counts             processCounts
}

func (u processUsage) since(before processUsage) processUsage {
	u.user -= before.user
	u.system -= before.system
	u.switches -= before.switches
	return u
}

const (
	ticksPerSecond = 100 // of the times in /proc
	kilobytesPerMB = 1024
)

func (l *load) usage() []processUsage {
	all := make([]processUsage, len(l.processes))
	for i, p := range l.processes {
		u := processUsage{pid: p.Process.Pid}
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.pid))
		require.NoError(l.b, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		u.user, u.system = number(fields[11])/ticksPerSecond, number(fields[12])/ticksPerSecond
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
		require.NoError(l.b, err)
		for line := range strings.Lines(string(status)) {
			words := strings.Fields(line)
			switch words[0] {
			case "VmRSS:":
				u.residentMB = number(words[1]) / kilobytesPerMB
			case "VmHWM:":
				u.peakMB = number(words[1]) / kilobytesPerMB
			}
		}
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", u.pid))
		require.NoError(l.b, err)
		for _, path := range threads {
			status, err := os.ReadFile(path)
			if err != nil {
				continue // the thread has ended
			}
			for line := range strings.Lines(string(status)) {
				if rest, found := strings.CutPrefix(line, "voluntary_ctxt_switches:"); found {
					u.switches += number(strings.TrimSpace(rest))
				}
			}
		}
		u.counts = l.counts[u.pid]
		all[i] = u
	}
	return all
}

func number(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}
