// Package stand holds the code that the stand-ins share: flags, the HTTP server, the port file,
// shutdown on a signal, fault injection, and running programs in tests.
//
// # Usage
//
//	func main() {
//		service := newService()
//		os.Exit(stand.Run(stand.Program{
//			Name:    "logd",
//			Summary: "stand-in for the append-only log service",
//			Flags:   service.declareFlags,
//			Start:   service.start,
//		}, os.Args[1:], os.Stdout, os.Stderr))
//	}
//
// Every stand-in takes -listen and -port-file, prints its flags for help or -h, and
// exits with 0 after a stop by signal, 1 after an error and 2 after a wrong command line.
package stand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
)

type (
	// Program describes a stand-in.
	Program struct {
		Name    string
		Summary string
		// Flags declares the program's own flags. It may be nil.
		Flags func(*flag.FlagSet)
		// Start checks the flags, adds the routes and starts the background work, which ends
		// with the context after the server has stopped. An error that wraps ErrUsage gives
		// exit code 2.
		Start func(context.Context, *fiber.App) error
		// PortFile returns the content of the port file for the server's address. If it
		// is nil, the content is the address and a newline.
		PortFile func(address string) string
	}
)

const (
	exitFault = 1
	exitUsage = 2

	// maxBody limits a request body in bytes; exported KV caches are the largest bodies.
	maxBody = 64 << 20
	// stopPeriod limits the wait for requests in progress after a stop signal.
	stopPeriod = 2 * time.Second
)

// ErrUsage reports a flag value that is out of range.
var ErrUsage = eris.New("wrong usage")

// Run runs the program until a signal or an error ends it, and returns its exit code.
func Run(p Program, arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "listen at `ADDRESS`; port 0 lets the kernel pick one")
	portFile := flags.String("port-file", "", "write the bound address to `PATH` once listening")
	seed := flags.Uint64("seed", 1, "draw random faults from `SEED`")
	if p.Flags != nil {
		p.Flags(flags)
	}
	flags.Usage = func() {
		_, _ = fmt.Fprintf(flags.Output(), "%s: %s\n\nusage: %s [flags]\n", p.Name, p.Summary, p.Name)
		flags.PrintDefaults()
	}
	if len(arguments) == 1 && arguments[0] == "help" {
		arguments = []string{"-h"}
	}
	if len(arguments) == 1 && (arguments[0] == "-h" || arguments[0] == "--help" || arguments[0] == "-help") {
		flags.SetOutput(stdout)
	}
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return exitUsage
	}
	if flags.NArg() > 0 {
		_, _ = fmt.Fprintf(stderr, "%s: unexpected argument %q\n", p.Name, flags.Arg(0))
		return exitUsage
	}
	seedRandom(*seed)
	if err := serve(p, *listen, *portFile); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		if errors.Is(err, ErrUsage) {
			return exitUsage
		}
		return exitFault
	}
	return 0
}

// serve listens until SIGTERM or SIGINT, then waits up to stopPeriod for open requests.
func serve(p Program, listen, portFile string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	app := NewApp()
	if err := p.Start(ctx, app); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	failed := make(chan error, 1)
	go func() { failed <- app.Listener(listener) }()
	if portFile != "" {
		content := listener.Addr().String() + "\n"
		if p.PortFile != nil {
			content = p.PortFile(listener.Addr().String())
		}
		if err := writeAtomically(portFile, content); err != nil {
			return err
		}
	}
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-stopped.Done():
	}
	if err := app.ShutdownWithTimeout(stopPeriod); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "stop")
	}
	return nil
}

// NewApp returns an HTTP server whose errors are JSON objects with Message.
func NewApp() *fiber.App {
	return fiber.New(fiber.Config{
		// Handlers keep strings of the request after they return, so they must be copies.
		Immutable:             true,
		DisableStartupMessage: true,
		BodyLimit:             maxBody,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			status := fiber.StatusInternalServerError
			var known *fiber.Error
			if errors.As(err, &known) {
				status = known.Code
			}
			return c.Status(status).JSON(fiber.Map{"Message": err.Error()})
		},
	})
}

// writeAtomically writes a temporary file and renames it to the path, so that a reader never sees
// a partial file.
func writeAtomically(path, content string) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return eris.Wrap(err, "port file")
	}
	_, err = file.WriteString(content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return eris.Wrap(err, "port file")
	}
	return nil
}
