package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryBytes is limits.memory_mb of the settings.
	memoryBytes = 284_000_000
	// floodConnections is the number of hostile clients, floodTime how long they send, floodAddresses the number of
	// loopback addresses that they come from.
	floodConnections = 1100
	floodTime        = 12 * time.Second
	floodAddresses   = 200
	memoryPause      = 20 * time.Millisecond
)

// runFlood lets a crowd of clients send model requests whose list of parts has very many short entries, each within the
// limit of the head, to one daemon. The rule: the process stays within the memory of its machine.
func runFlood(tb *testbed) (bool, error) {
	if err := tb.start(); err != nil {
		return false, err
	}
	store, err := tb.serve(tb.store)
	if err != nil {
		return false, err
	}
	api, err := tb.serve(tb.cloud)
	if err != nil {
		return false, err
	}
	if err := tb.startDaemons(func(string) (string, string, error) { return store, api, nil }); err != nil {
		return false, err
	}
	people := newCrowd(tb)
	time.Sleep(warmTime)
	d, until := tb.daemons[0], time.Now().Add(floodTime)
	var flood sync.WaitGroup
	answers := map[int]int{}
	var mutex sync.Mutex
	if tb.trouble {
		tb.record.line("hostile clients: %d channels to %s, heads of %d bytes", floodConnections, d.name, len(emptyParts("x")))
		for n := range floodConnections {
			flood.Go(func() {
				for status, count := range floodFrom(d.front, n, until) {
					mutex.Lock()
					answers[status] += count
					mutex.Unlock()
				}
			})
		}
	}
	peak := 0
	for time.Now().Before(until) {
		now := anonymousBytes(d.command.Process.Pid)
		if now > peak+10_000_000 {
			tb.record.line("%s takes %d MB", d.name, now/1_000_000)
		}
		peak = max(peak, now)
		time.Sleep(memoryPause)
	}
	flood.Wait()
	failed := 0
	samples := people.end()
	for _, s := range samples {
		if s.status != http.StatusOK {
			failed++
		}
	}
	tb.record.say("%s took %d MB at most, limit %d MB; hostile answers by status: %v; ordinary requests: %d sent, %d not served",
		d.name, peak/1_000_000, memoryBytes/1_000_000, answers, len(samples), failed)
	return peak > memoryBytes, nil
}

// floodFrom sends one hostile request after the other until a time, and returns the number of answers by status, 0 for none.
func floodFrom(front string, client int, until time.Time) map[int]int {
	answers := map[int]int{}
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+client%floodAddresses))}}
	for n := 0; time.Now().Before(until); {
		conn, err := dialer.Dial("tcp", front)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && time.Now().Before(until); n++ {
			_ = conn.SetDeadline(time.Now().Add(modelTimeout + time.Second))
			status := 0
			if _, err = io.WriteString(conn, emptyParts(fmt.Sprintf("many-%d-%d", client, n))); err == nil {
				var response *http.Response
				if response, err = http.ReadResponse(reader, nil); err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					status, open = response.StatusCode, !response.Close
				}
			}
			answers[status]++
			open = open && err == nil
		}
		_ = conn.Close()
	}
	return answers
}

// emptyParts returns a model request whose head has the allowed size and a list of parts without identifiers.
func emptyParts(id string) string {
	head := fmt.Sprintf("POST /fix/many HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 4000\r\nModel: m\r\n%s: 300,20\r\nContent-Length: 0\r\n%s: ",
		host, names["callID"], id, names["key"], key, names["deadline"], names["tokens"], names["parts"])
	return head + strings.Repeat(",", headerBytes-headerRoom-len(head)) + "1:1\r\n\r\n"
}

// anonymousBytes returns the memory of a process without the pages of files.
func anonymousBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kilobytes := 0
	if _, rest, ok := strings.Cut(string(text), "RssAnon:"); ok {
		_, _ = fmt.Sscan(rest, &kilobytes)
	}
	return kilobytes << 10
}
