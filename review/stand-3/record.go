package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run, with times since its start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
	// crashes are the requests that have crashed a replica.
	crashes []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes a line to the record and to standard output.
func (r *record) line(format string, values ...any) {
	text := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(text)
}

// say is line for the few lines that also go to standard output.
func (r *record) say(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// crash records a request that crashes a replica.
func (r *record) crash(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashes = append(r.crashes, arrival{id, time.Now()})
}

func (r *record) close() { _ = r.file.Close() }
