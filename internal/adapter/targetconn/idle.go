package targetconn

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Counts are the numbers of open connections and of those that carry no request.
type Counts struct{ Open, Idle int }

// Counts returns the numbers of connections.
func (p *Pool) Counts() Counts {
	c := Counts{Open: int(p.total.Load())}
	p.idle.Range(func(_ fleet.Address, cs []*conn) bool {
		c.Idle += len(cs)
		return true
	})
	return c
}

// reserve takes a place in the limits for a connection to an address. In place of a further
// connection beyond the total it closes an idle one. The returned function gives the place back;
// calls after the first one do nothing.
func (p *Pool) reserve(addr fleet.Address) (release func(), err error) {
	for n := p.total.Add(1); p.Limits.Total > 0 && n > int64(p.Limits.Total); n = p.total.Load() {
		if !p.closeLongestIdle() {
			p.total.Add(-1)
			return nil, ErrTooManyConnections
		}
	}
	full := false
	p.open.Update(addr, func(n int, _ bool) (int, bool) {
		full = p.Limits.PerTarget > 0 && n >= p.Limits.PerTarget
		if !full {
			n++
		}
		return n, n > 0
	})
	if full {
		p.total.Add(-1)
		return nil, ErrTooManyConnections
	}
	return sync.OnceFunc(func() {
		p.total.Add(-1)
		p.open.Update(addr, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
	}), nil
}

// closeLongestIdle closes the connection that has been idle for the longest time. It returns false
// if none is idle.
func (p *Pool) closeLongestIdle() bool {
	for {
		var longest *conn
		var at fleet.Address
		p.idle.Range(func(addr fleet.Address, cs []*conn) bool {
			if len(cs) > 0 && (longest == nil || cs[0].idleSince.Before(longest.idleSince)) {
				longest, at = cs[0], addr
			}
			return true
		})
		if longest == nil {
			return false
		}
		for _, c := range p.take(at, func(c *conn) bool { return c == longest }) {
			_ = c.Close()
			return true
		}
	}
}

// take removes the idle connections that match from the pool, in the order of their last use.
func (p *Pool) take(addr fleet.Address, match func(*conn) bool) (taken []*conn) {
	p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) {
		var kept []*conn
		for _, c := range cs {
			if match(c) {
				taken = append(taken, c)
			} else {
				kept = append(kept, c)
			}
		}
		return kept, len(kept) > 0
	})
	return taken
}

// minCheckedIdle is the time for which a connection is idle before CloseIdle checks whether its peer
// has closed it. One that is used more often is checked whenever it is used.
const minCheckedIdle = 500 * time.Millisecond

// CloseIdle closes the idle connections to addresses that are not live, those that have expired, and
// those that their peer has closed.
func (p *Pool) CloseIdle(live func(fleet.Address) bool) {
	var addrs []fleet.Address
	p.idle.Range(func(addr fleet.Address, _ []*conn) bool {
		addrs = append(addrs, addr)
		return true
	})
	now := time.Now()
	for _, addr := range addrs {
		isLive := live(addr)
		// No request can use a connection while it is checked.
		due := p.take(addr, func(c *conn) bool {
			return !isLive || !now.Before(c.expiresAt) || now.Sub(c.idleSince) >= minCheckedIdle
		})
		var kept []*conn
		for _, c := range due {
			if isLive && now.Before(c.expiresAt) && c.isQuiet() {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) > 0 {
			p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) { return append(kept, cs...), true })
		}
	}
}

func (p *Pool) pop(addr fleet.Address) (c *conn) {
	p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) {
		if len(cs) == 0 {
			return nil, false
		}
		c = cs[len(cs)-1]
		cs = cs[:len(cs)-1]
		return cs, len(cs) > 0
	})
	return c
}

// push adds an idle connection and closes those that have expired.
func (p *Pool) push(addr fleet.Address, c *conn) {
	now := time.Now()
	var expired []*conn
	p.idle.Update(addr, func(cs []*conn, _ bool) ([]*conn, bool) {
		for len(cs) > 0 && !now.Before(cs[0].expiresAt) {
			expired, cs = append(expired, cs[0]), cs[1:]
		}
		return append(cs, c), true
	})
	for _, o := range expired {
		_ = o.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	var all []*conn
	p.idle.Range(func(_ fleet.Address, cs []*conn) bool {
		all = append(all, cs...)
		return true
	})
	for _, c := range all {
		_ = c.Close()
	}
}
