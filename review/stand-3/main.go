// Command stand runs one case of the review: it starts the daemons of a small deployment as processes in front of
// stand-ins of the platform, brings the case about, and writes what it saw to a record.
//
// # Usage
//
//	stand -case NAME -root FOLDER -record FILE
//
// With TROUBLE=0 in the environment, the case runs without its disruption. The exit code is 0 if the rule held, 1 if it
// was broken, and 2 if the case could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// names are the platform's names on the wire.
//
//go:embed names.json
var namesText []byte

var names = map[string]string{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// caseLimit ends a case that hangs.
	caseLimit = 110 * time.Second
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*testbed) (bool, error){
	"parts":   runParts,
	"options": runOptions,
	"stale":   runStale,
	"flood":   runFlood,
	"shed":    runShed,
	"again":   runAgain,
}

func main() {
	name := flag.String("case", "", "the `name` of the case")
	root := flag.String("root", ".", "the `folder` of the repository")
	recordPath := flag.String("record", "record.txt", "the `file` to write")
	flag.Parse()
	os.Exit(run(*name, *root, *recordPath))
}

func run(name, root, recordPath string) int {
	if err := json.Unmarshal(namesText, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	tb := &testbed{
		record: record, folder: folder, program: filepath.Join(root, "target", "entryd"),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	defer tb.close()
	stop := time.AfterFunc(caseLimit, func() {
		record.line("the case did not end in time")
		tb.close()
		os.Exit(exitFailed)
	})
	defer stop.Stop()
	broken, err := play(tb)
	if err != nil {
		record.line("the case could not run: %v", err)
		return exitFailed
	}
	if broken {
		record.line("RESULT: the rule was broken")
		return exitBroken
	}
	record.line("RESULT: the rule held")
	return exitHeld
}
