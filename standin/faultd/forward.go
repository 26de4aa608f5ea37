package main

import (
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
)

type (
	// forwards holds the forwards in order of their numbers.
	forwards struct {
		mutex sync.Mutex
		all   []*forward
	}

	// forward accepts connections and proxies each to the target.
	forward struct {
		number   int
		target   string
		listener net.Listener

		mutex    sync.Mutex
		faults   faults
		accepted int
		// connections holds the open connections, the oldest first.
		connections []*proxyConn
	}
)

// add starts a forward and returns it.
func (f *forwards) add(spec forwardRequest) (*forward, error) {
	listener, err := net.Listen("tcp", spec.Listen)
	if err != nil {
		return nil, eris.Wrap(err, "forward")
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	added := &forward{number: len(f.all), target: spec.Target, listener: listener}
	f.all = append(f.all, added)
	go added.accept()
	return added, nil
}

func (f *forwards) list() []*forward {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.all)
}

func (f *forwards) status() []status {
	all := []status{}
	for _, g := range f.list() {
		all = append(all, g.status())
	}
	return all
}

// accept proxies connections until the process ends.
func (f *forward) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.currentFaults().Refuse {
			reset(client)
			continue
		}
		go f.connect(client)
	}
}

func (f *forward) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &proxyConn{forward: f, client: client.(*net.TCPConn), server: server.(*net.TCPConn)}
	f.mutex.Lock()
	f.accepted++
	f.connections = append(f.connections, c)
	f.mutex.Unlock()
	c.run()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections = slices.DeleteFunc(f.connections, func(other *proxyConn) bool { return other == c })
}

func (f *forward) currentFaults() faults {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults
}

func (f *forward) setFaults(next faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = next
}

// cut resets the open connections and returns their number.
func (f *forward) cut() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range f.connections {
		c.cut.Store(true)
		reset(c.client)
		reset(c.server)
	}
	return len(f.connections)
}

// silence silences up to limit of the oldest connections, or all for 0. It returns the number of
// newly silenced ones.
func (f *forward) silence(limit int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, c := range f.connections {
		if limit > 0 && count == limit {
			break
		}
		if !c.silent.Swap(true) {
			count++
		}
	}
	return count
}

func (f *forward) status() status {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	silent := 0
	for _, c := range f.connections {
		if c.silent.Load() {
			silent++
		}
	}
	return status{
		Forward:  f.number,
		Listen:   f.listener.Addr().String(),
		Target:   f.target,
		Open:     len(f.connections),
		Silent:   silent,
		Accepted: f.accepted,
		faults:   f.faults,
	}
}

// reset closes the connection so that the peer sees a reset and not an end of stream.
func reset(connection net.Conn) {
	if c, ok := connection.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = connection.Close()
}
