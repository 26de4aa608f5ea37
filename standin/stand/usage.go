package stand

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is what a process uses of its limits.
type Usage struct {
	// MemoryMB is the anonymous memory and UnreadMB in megabytes of 2^20 bytes.
	MemoryMB int
	// UnreadMB are the bytes that lie in the process's sockets, those that it has not accepted included.
	UnreadMB    int
	Descriptors int
}

const (
	// usageInterval is the pause between two measurements.
	usageInterval = 30 * time.Millisecond
	// The columns of /proc/net/tcp and /proc/net/udp: local address, transmit and receive queues, inode.
	localColumn, queueColumn, inodeColumn = 1, 4, 9
)

// Pid returns the process identifier.
func (p *Process) Pid() int { return p.command.Process.Pid }

// LimitDescriptors sets how many files the running process may have open. The limit can't be raised
// again.
func (p *Process) LimitDescriptors(count int) error {
	limit := &unix.Rlimit{Cur: uint64(count), Max: uint64(count)}
	return unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, limit, nil)
}

// PeakUsage measures the process until the context ends and returns the highest values. addresses are
// those that it listens at.
func (p *Process) PeakUsage(ctx context.Context, addresses []string) Usage {
	var peak Usage
	for ctx.Err() == nil {
		if now, err := p.usage(addresses); err == nil {
			if now.MemoryMB > peak.MemoryMB {
				peak.MemoryMB, peak.UnreadMB = now.MemoryMB, now.UnreadMB
			}
			peak.Descriptors = max(peak.Descriptors, now.Descriptors)
		}
		waitFor(ctx, usageInterval)
	}
	return peak
}

func (p *Process) usage(addresses []string) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d", p.Pid())
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return Usage{}, err
	}
	anonymousKB := 0
	if _, rest, ok := strings.Cut(string(status), "RssAnon:"); ok {
		_, _ = fmt.Sscan(rest, &anonymousKB)
	}
	files, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return Usage{}, err
	}
	inodes := map[string]bool{}
	for _, f := range files {
		target, err := os.Readlink(filepath.Join(folder, "fd", f.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok && err == nil {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	unread := unreadBytes("/proc/net/tcp", inodes, addresses) + unreadBytes("/proc/net/udp", inodes, addresses)
	return Usage{MemoryMB: (anonymousKB<<10 + unread) >> 20, UnreadMB: unread >> 20, Descriptors: len(files)}, nil
}

// unreadBytes returns the bytes in the receive queues of the sockets with these inodes, and of those
// that have not been accepted at these addresses.
func unreadBytes(path string, inodes map[string]bool, addresses []string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a); err == nil {
			number, _ := strconv.Atoi(port)
			ports[fmt.Sprintf("%04X", number)] = true
		}
	}
	sum := 0
	for _, line := range strings.Split(string(text), "\n") {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn {
			continue
		}
		_, port, _ := strings.Cut(columns[localColumn], ":")
		_, queue, _ := strings.Cut(columns[queueColumn], ":")
		inode := columns[inodeColumn]
		if !inodes[inode] && (inode != "0" || !ports[port]) {
			continue
		}
		if bytes, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += int(bytes)
		}
	}
	return sum
}
