package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/stretchr/testify/require"
)

// processUsage holds the resource usage of a process since its start, as reported by the kernel, and
// the memory statistics from the end of its last completed phase.
type processUsage struct {
	pid                int
	user, system       float64 // seconds
	switches           float64 // voluntary context switches
	residentMB, peakMB float64
	memory             memoryStats
}

// since returns the usage with the processor times and context switches of an earlier usage
// subtracted.
func (u processUsage) since(before processUsage) processUsage {
	u.user -= before.user
	u.system -= before.system
	u.switches -= before.switches
	return u
}

const (
	ticksPerSecond = 100 // the times in /proc are in ticks
	kilobytesPerMB = 1024
)

// readUsage returns the usage of each controller process.
func (l *loadCluster) readUsage() []processUsage {
	all := make([]processUsage, len(l.processes))
	for i, process := range l.processes {
		usage := processUsage{pid: process.Process.Pid}
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", usage.pid))
		require.NoError(l.tb, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		usage.user, usage.system = parseNumber(fields[11])/ticksPerSecond, parseNumber(fields[12])/ticksPerSecond
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", usage.pid))
		require.NoError(l.tb, err)
		for line := range strings.Lines(string(status)) {
			words := strings.Fields(line)
			switch words[0] {
			case "VmRSS:":
				usage.residentMB = parseNumber(words[1]) / kilobytesPerMB
			case "VmHWM:":
				usage.peakMB = parseNumber(words[1]) / kilobytesPerMB
			}
		}
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", usage.pid))
		require.NoError(l.tb, err)
		for _, path := range threads {
			status, err := os.ReadFile(path)
			if err != nil {
				continue // the thread has ended
			}
			for line := range strings.Lines(string(status)) {
				if rest, found := strings.CutPrefix(line, "voluntary_ctxt_switches:"); found {
					usage.switches += parseNumber(strings.TrimSpace(rest))
				}
			}
		}
		usage.memory = l.memoryStats[usage.pid]
		all[i] = usage
	}
	return all
}

func parseNumber(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}
