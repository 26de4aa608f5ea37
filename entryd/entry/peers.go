package entry

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/dial"
)

type (
	// peers makes calls to other daemons and serves their calls.
	peers struct {
		base   *Base
		logger logr.Logger
		server *rpc.Server

		mu      sync.Mutex
		clients map[string]*rpc.Client
		// open are the connections being served. They are closed at shutdown.
		open map[net.Conn]struct{}
	}
)

const (
	// peerDialTimeout bounds opening a connection and also its authentication.
	peerDialTimeout = time.Second
	// nonceBytes is the length of each side's random challenge.
	nonceBytes = 32
)

var (
	errPeerTimeout = eris.New("peer did not answer in time")
	errPeerUnknown = eris.New("the daemon is not in the instance list")
	errPeerSecret  = eris.New("peer failed authentication with the secret")
)

func newPeers(b *Base) *peers {
	return &peers{
		base:    b,
		logger:  b.Logger.WithName("peers"),
		server:  rpc.NewServer(),
		clients: make(map[string]*rpc.Client),
		open:    make(map[net.Conn]struct{}),
	}
}

// serve accepts peer connections until the context ends.
func (p *peers) serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.closeAll()
	})
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "accept peer")
		}
		handlers.Go(func() { p.serveConn(ctx, conn) })
	}
}

func (p *peers) serveConn(ctx context.Context, conn net.Conn) {
	p.track(conn, true)
	defer p.track(conn, false)
	defer func() { _ = conn.Close() }()
	if ctx.Err() != nil {
		return
	}
	if err := handshake(conn, p.base.Settings.PeerSecret, "server", "client"); err != nil {
		p.logger.Info("Rejected a peer connection.", "address", conn.RemoteAddr().String(), "error", err.Error())
		return
	}
	if bounded, ok := conn.(*boundedConn); ok {
		bounded.trust()
	}
	p.server.ServeConn(conn)
}

func (p *peers) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[conn] = struct{}{}
	} else {
		delete(p.open, conn)
	}
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close()
	}
	for address, c := range p.clients {
		_ = c.Close()
		delete(p.clients, address)
	}
}

// call makes one call to the peer at the address. After an error the call may still have taken
// effect. A connection without a reply by the deadline is closed, because it may be dead; the next
// call opens a new one.
func (p *peers) call(deadline time.Time, address, method string, in, out any) error {
	c, err := p.clientFor(address)
	if err != nil {
		return err
	}
	call := c.Go("Peer."+method, in, out, make(chan *rpc.Call, 1))
	timer := time.NewTimer(deadline.Sub(p.base.Now()))
	defer timer.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			if _, answered := call.Error.(rpc.ServerError); !answered {
				p.dropClient(address, c)
			}
			return eris.Wrapf(call.Error, "peer call %s", method)
		}
		return nil
	case <-timer.C:
		p.dropClient(address, c)
		return errPeerTimeout
	}
}

func (p *peers) clientFor(address string) (*rpc.Client, error) {
	p.mu.Lock()
	c := p.clients[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := dial.New(dial.Options{Timeout: peerDialTimeout}).Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "open peer connection")
	}
	if err := handshake(conn, p.base.Settings.PeerSecret, "client", "server"); err != nil {
		_ = conn.Close()
		return nil, err
	}
	c = rpc.NewClient(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if present := p.clients[address]; present != nil {
		_ = c.Close()
		return present, nil
	}
	p.clients[address] = c
	return c, nil
}

func (p *peers) dropClient(address string, c *rpc.Client) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
}

// handshake proves to each side that the other knows the secret. Each side sends a random challenge
// and answers the other's challenge with an HMAC that includes its own role. An answer can
// therefore not be reflected to its sender.
func handshake(conn net.Conn, secret, ownRole, peerRole string) error {
	if err := conn.SetDeadline(time.Now().Add(peerDialTimeout)); err != nil {
		return err
	}
	challenge := make([]byte, nonceBytes)
	if _, err := rand.Read(challenge); err != nil {
		return err
	}
	if _, err := conn.Write(challenge); err != nil {
		return err
	}
	peerChallenge := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerChallenge); err != nil {
		return err
	}
	if _, err := conn.Write(challengeResponse(secret, ownRole, peerChallenge)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, challengeResponse(secret, peerRole, challenge)) {
		return errPeerSecret
	}
	return conn.SetDeadline(time.Time{})
}

func challengeResponse(secret, role string, challenge []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(role))
	mac.Write(challenge)
	return mac.Sum(nil)
}
