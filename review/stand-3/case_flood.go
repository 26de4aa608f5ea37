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
	// floodConnections is the number of hostile clients at each machine, floodTime how long they send, floodAddresses the
	// number of loopback addresses that they come from.
	floodConnections = 700
	floodTime        = 20 * time.Second
	floodAddresses   = 200
	memoryPause      = 20 * time.Millisecond
	// downTime is the time after which the platform starts a process again.
	downTime = time.Second
	// endsOfMachine and machinesEnded are the ends from which the rule is broken: three in the day on a tenth of the machines,
	// two at least.
	endsOfMachine = 3
	machinesEnded = 2
)

// runFlood lets a crowd of clients at each machine send model requests whose list of parts has very many short entries, each
// within the limit of the head. A process that exceeds the memory of its machine is killed and started again. The rule:
// processes do not end three times on two machines.
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
	until := time.Now().Add(floodTime)
	var flood, watching sync.WaitGroup
	answers := map[int]int{}
	var mutex sync.Mutex
	if tb.trouble {
		tb.record.line("hostile clients: %d channels to each machine, heads of %d bytes", floodConnections, len(emptyParts("x")))
		for _, d := range tb.daemons {
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
	}
	ends, peaks := make([]int, len(tb.daemons)), make([]int, len(tb.daemons))
	failures := make([]error, len(tb.daemons))
	for i, d := range tb.daemons {
		watching.Go(func() { ends[i], peaks[i], failures[i] = tb.watchMemory(d, until) })
	}
	watching.Wait()
	flood.Wait()
	failed := 0
	samples := people.end()
	for _, s := range samples {
		if s.status != http.StatusOK {
			failed++
		}
	}
	machines := 0
	for i, d := range tb.daemons {
		if failures[i] != nil {
			return false, failures[i]
		}
		tb.record.say("%s: ended %d times, %d MB at most, limit %d MB", d.name, ends[i], peaks[i]/1_000_000, memoryBytes/1_000_000)
		if ends[i] >= endsOfMachine {
			machines++
		}
	}
	tb.record.say("hostile answers by status: %v; ordinary requests: %d sent, %d not served; machines with %d ends or more: %d of %d",
		answers, len(samples), failed, endsOfMachine, machines, len(tb.daemons))
	return machines >= machinesEnded, nil
}

// watchMemory kills a process that takes more than the memory of its machine, and starts it again, until a time. It returns
// the number of ends and the largest memory that was seen.
func (tb *testbed) watchMemory(d *daemon, until time.Time) (ends, peak int, err error) {
	for ; time.Now().Before(until); time.Sleep(memoryPause) {
		now := anonymousBytes(d.command.Process.Pid)
		peak = max(peak, now)
		if now <= memoryBytes {
			continue
		}
		ends++
		tb.record.line("%s takes %d MB and is killed", d.name, now/1_000_000)
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
		time.Sleep(downTime)
		if err := d.restart(tb.program); err != nil {
			return ends, peak, err
		}
	}
	return ends, peak, nil
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
