package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// names.txt holds the platform's names of headers, calls and topics. Go files outside platform/ may not hold them.
//
//go:embed names.txt
var nameLines string

var names = func() map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(nameLines), "\n") {
		key, name, _ := strings.Cut(line, " ")
		m[key] = name
	}
	return m
}()

// name returns the platform's name for a key of names.txt.
func name(key string) string {
	n, ok := names[key]
	if !ok {
		panic(fmt.Sprintf("names.txt has no %s", key))
	}
	return n
}
