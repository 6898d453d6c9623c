package second

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// socketInode returns the inode of the socket that is bound to a loopback port and connected to
// another one, or "" if there is none.
func socketInode(local, remote int) string {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			return fields[9]
		}
	}
	return ""
}

// processHolds reports whether a process has a socket open.
func processHolds(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// controllerOf returns the controller that opened a connection to a stand-in, or -1.
func (r *rig) controllerOf(conn net.Conn) int {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
	if inode == "" {
		return -1
	}
	for i := range r.nodes {
		if pid := r.pid(i); pid != 0 && processHolds(pid, inode) {
			return i
		}
	}
	return -1
}
