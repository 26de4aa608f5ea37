package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// runOptions lets a client send a request at the path "*". The rule: no success without a replica's receipt.
func runOptions(tb *testbed) (bool, error) {
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
	target := "/lookup/x"
	if tb.trouble {
		target = "*"
	}
	broken := false
	for _, d := range tb.daemons {
		text := fmt.Sprintf("OPTIONS %s HTTP/1.1\r\nHost: %s\r\n%s: options-%s\r\n%s: %s\r\n%s: 2500\r\n\r\n",
			target, host, names["callID"], d.zone, names["key"], key, names["deadline"])
		response, err := roundTrip(d.front, text)
		if err != nil {
			return false, err
		}
		receipt := response.Header.Get(names["signature"])
		tb.record.say("%s: OPTIONS %s is answered with %d, receipt %q, head %v", d.name, target, response.StatusCode, receipt, response.Header)
		broken = broken || response.StatusCode/100 == 2 && receipt == ""
	}
	return broken, nil
}

// roundTrip sends a request as it is and reads the whole answer.
func roundTrip(address, text string) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
