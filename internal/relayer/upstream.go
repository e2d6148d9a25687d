package relayer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	dialTimeout  = 200 * time.Millisecond
	downChecks   = 2
	downInterval = 10 * time.Millisecond
)

// localUpstream is the connection to the upstream beside the node.
type localUpstream struct {
	clock       timekeeper.Clock
	interpreter Interpreter
	onLoad      func(load interpreter.Load)
	options     []forwarder.Option

	mu       sync.Mutex
	address  netip.AddrPort
	instance string
	pool     *forwarder.Pool
}

func newLocalUpstream(clock timekeeper.Clock, i Interpreter, onLoad func(interpreter.Load), options ...forwarder.Option) *localUpstream {
	return &localUpstream{clock: clock, interpreter: i, onLoad: onLoad, options: options}
}

// announced follows the upstream to a new address or process.
func (u *localUpstream) announced(a announcer.Announcement) {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pool != nil && u.address == address && u.instance == a.Instance {
		return
	}
	if u.pool != nil {
		u.pool.Close()
	}
	u.address = address
	u.instance = a.Instance
	u.pool = forwarder.New(address, u.clock, u.options...)
}

func (u *localUpstream) current() (*forwarder.Pool, netip.AddrPort, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool, u.address, u.instance
}

// maxUnsafeIdle is how long a connection may have been idle to carry a request that runs at most once:
// the upstream may be about to close it.
const maxUnsafeIdle = time.Second

// Do implements executor.Upstream.
func (u *localUpstream) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	pool, _, _ := u.current()
	if pool == nil {
		return forwarder.ErrNotSent
	}
	x := &forwarder.Exchange{Deadline: deadline, Request: req, Response: resp}
	if !req.Header.IsGet() && !req.Header.IsHead() {
		x.MaxIdle = maxUnsafeIdle
	}
	said, err := u.interpreter.ReadRequest(&req.Header)
	if err == nil && said.ID != "" {
		x.Accept = func(header *fasthttp.ResponseHeader) bool {
			id := u.interpreter.ReadAnswer(header).ID
			return id == "" || id == said.ID
		}
	}
	if err := pool.Do(ctx, x); err != nil {
		return err
	}
	return u.check(resp)
}

// check reads what the upstream says with its answer, and removes what concerns its connection only.
func (u *localUpstream) check(resp *fasthttp.Response) error {
	answer := u.interpreter.ReadAnswer(&resp.Header)
	if answer.HasLoad {
		u.onLoad(answer.Load)
	}
	status := resp.StatusCode()
	switch {
	case answer.NotRun && status == fasthttp.StatusMisdirectedRequest:
		return executor.ErrMisdirected
	case answer.NotRun:
		return executor.ErrShed
	case answer.Unsealed:
		return forwarder.ErrForeign
	}
	resp.Header.ResetConnectionClose()
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade"} {
		resp.Header.Del(name)
	}
	return nil
}

// IsDown implements executor.Upstream: the process is gone when another instance has announced
// itself or nothing listens any more.
func (u *localUpstream) IsDown(ctx context.Context, instance string) bool {
	for range downChecks {
		_, address, current := u.current()
		if current != instance {
			return true
		}
		conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			return false
		}
		_ = conn.Close()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(downInterval):
		}
	}
	return false
}
