// Command stand runs the cases of review/ that are scripts: the project's daemons as separate processes, and small
// stand-ins for the platform, its replicas and its clients.
//
//	stand CASE PROGRAM RECORD
//
// CASE names the case, PROGRAM is the daemons' program and RECORD the file for what was sent, answered and run. With
// TROUBLE=0 in the environment the disruption is left out. The exit code is 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

var cases = map[string]func(rec *record, program string, trouble bool) (broken bool, err error){
	"pipeline": runPipeline,
	"memory":   runMemory,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(2)
	}
	program, err := filepath.Abs(os.Args[2])
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, program, os.Getenv("TROUBLE") != "0")
	code, verdict := 0, "the rule held"
	switch {
	case err != nil:
		code, verdict = 2, "the case could not run: "+err.Error()
	case broken:
		code, verdict = 1, "the rule was broken"
	}
	rec.say("%s", verdict)
	rec.close()
	os.Exit(code)
}
