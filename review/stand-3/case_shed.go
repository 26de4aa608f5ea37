package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// waitingChannels is the number of channels that clients open before they send their requests, calmChannels that
	// without the crowd.
	waitingChannels = 2200
	calmChannels    = 200
	openPause       = time.Millisecond
	waitingTime     = 4 * time.Second
	// deniedLeast and deniedShare are the refusals that the rule allows.
	deniedLeast = 5
	deniedShare = 500
)

// runShed lets many clients open a channel to one daemon and send their first request, a proper one, some seconds later. The
// rule: no more than deniedLeast requests and one in deniedShare are ended with a 4xx other than 408, 421 and 429.
func runShed(tb *testbed) (bool, error) {
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
	time.Sleep(warmTime)
	count := calmChannels
	if tb.trouble {
		count = waitingChannels
	}
	d := tb.daemons[0]
	var clients sync.WaitGroup
	var mutex sync.Mutex
	answers := map[string]int{}
	denied, opened := 0, 0
	for n := range count {
		time.Sleep(openPause)
		dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+n%floodAddresses))}}
		conn, err := dialer.Dial("tcp", d.front)
		if err != nil {
			tb.record.line("client %d: the channel was not opened: %v", n, err)
			continue
		}
		opened++
		clients.Go(func() {
			defer func() { _ = conn.Close() }()
			time.Sleep(waitingTime)
			text, status := firstRequest(conn, n)
			tb.record.line("client %d: %s", n, text)
			mutex.Lock()
			defer mutex.Unlock()
			answers[text]++
			if status/100 == 4 && status != 408 && status != 421 && status != 429 {
				denied++
			}
		})
	}
	clients.Wait()
	if opened < count-count/10 {
		return false, fmt.Errorf("only %d of %d channels could be opened", opened, count)
	}
	tb.record.say("answers to %d requests: %v", count, answers)
	allowed := deniedLeast + count/deniedShare
	tb.record.say("ended with a 4xx of the system's own: %d, allowed: %d", denied, allowed)
	return denied > allowed, nil
}

// firstRequest sends a request of the safe route and returns what answers it.
func firstRequest(conn net.Conn, n int) (text string, status int) {
	_ = conn.SetDeadline(time.Now().Add(patience))
	request := fmt.Sprintf("GET /lookup/%d HTTP/1.1\r\nHost: %s\r\n%s: first-%d\r\n%s: %s\r\n%s: %d\r\n\r\n", n, host, names["callID"], n,
		names["key"], key, names["deadline"], patience.Milliseconds())
	if _, err := io.WriteString(conn, request); err != nil {
		return "the channel is closed", 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status, response.StatusCode
}
