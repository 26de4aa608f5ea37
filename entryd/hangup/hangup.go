// Package hangup receives SIGHUP from the initialization of the program on.
//
// Until a program receives the signal, it ends the process. Receiving it in main left the first 4 ms of a
// process in which a request to read the settings again killed it. The package imports little, so that it is
// initialized before the packages that take most of that time.
//
// # Usage
//
//	for range hangup.Signals() { ... }
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel that receives SIGHUP. Signals that arrive together count as one.
func Signals() <-chan os.Signal { return signals }

// Restore restores the default of SIGHUP, which ends the process.
func Restore() { signal.Reset(syscall.SIGHUP) }
