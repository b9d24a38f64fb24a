package memlimit

import "github.com/masticwing/masticwing/internal/core/shard"

// Class is a use of memory with a share of its own, so that no use takes the memory of another.
type Class uint8

// The classes of an Account.
const (
	// Small is for the first SmallBytes of each request's body.
	Small Class = iota
	// Large is for the rest of bodies.
	Large
	// Responses is for responses that are held before they are delivered.
	Responses
	classes
)

// String returns the name used in metrics.
func (c Class) String() string { return [...]string{"small_bodies", "large_bodies", "responses"}[c] }

// SmallBytes is the length up to which a body counts as small. Most have some hundred bytes.
const SmallBytes = 64 << 10

// shares are the fractions of the process's memory by class. Together they leave more than half of it to the
// process itself and to the connections of callers.
var shares = [classes]float64{Small: 0.05, Large: 0.25, Responses: 0.125}

// clientShare is the fraction of Large that one client account may hold.
const clientShare = 0.5

const (
	// processBytes is the memory of a process without callers. A gateway takes 28 MiB.
	processBytes = 32 << 20
	// connectionBytes is the memory of a connection with a request, without what is counted in a class: 36 KiB
	// if the header is nearly as long as operators allow, 16 KiB.
	connectionBytes = 40 << 10
	// minConnections is for settings of so little memory that nothing is left.
	minConnections = 32
)

// Connections returns the number of callers' connections for which a process with a memory limit in bytes has
// memory while all classes are used up.
func Connections(memory int64) int {
	rest := float64(memory)
	for _, share := range shares {
		rest -= share * float64(memory)
	}
	return max(minConnections, int((rest-processBytes)/connectionBytes))
}

// Account divides the memory that a process holds for its callers. It is safe for concurrent use.
type Account struct {
	budgets [classes]*Budget
	// perClient bounds the bytes in Large of a client account.
	perClient int64
	clients   *shard.Map[string, int64]
	// freed receives after a release, if it is empty.
	freed chan struct{}
}

// NewAccount returns the account of a process with a memory limit in bytes.
func NewAccount(memory int64) *Account {
	a := &Account{clients: shard.New[string, int64](0), freed: make(chan struct{}, 1)}
	for c, share := range shares {
		a.budgets[c] = New(int64(share * float64(memory)))
	}
	a.perClient = int64(clientShare * float64(a.budgets[Large].limit))
	return a
}

// Used returns the bytes that are held by class.
func (a *Account) Used() map[Class]int64 {
	out := map[Class]int64{}
	for c, b := range a.budgets {
		out[Class(c)] = b.Used()
	}
	return out
}

// TryReserve reserves n bytes of a class. It returns false, and reserves nothing, if fewer are left.
func (a *Account) TryReserve(c Class, n int64) bool { return a.budgets[c].TryReserve(n) }

// Release returns n reserved bytes of a class.
func (a *Account) Release(c Class, n int64) {
	a.budgets[c].Release(n)
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// Freed receives after memory was released. One waiter is woken, which passes the signal on with Wake
// if it leaves memory to others.
func (a *Account) Freed() <-chan struct{} { return a.freed }

// Wake signals Freed.
func (a *Account) Wake() {
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// Body is the memory of one request's body. It is not safe for concurrent use.
type Body struct {
	account *Account
	client  string
	held    int64
}

// NewBody returns the memory of a body of a client account, which is empty if it is not known. Only
// known ones are bounded by themselves.
func (a *Account) NewBody(client string) *Body { return &Body{account: a, client: client} }

// TryGrow reserves memory for n bytes in all. It returns false, and reserves nothing more, if there is
// none.
func (b *Body) TryGrow(n int64) bool {
	small := min(n, SmallBytes) - min(b.held, SmallBytes)
	large := max(n-SmallBytes, 0) - max(b.held-SmallBytes, 0)
	if small < 0 || large < 0 {
		return true
	}
	a := b.account
	if small > 0 && !a.TryReserve(Small, small) {
		return false
	}
	if large > 0 && !b.reserveLarge(large) {
		a.Release(Small, small)
		return false
	}
	b.held = n
	return true
}

func (b *Body) reserveLarge(n int64) bool {
	a := b.account
	if !a.TryReserve(Large, n) {
		return false
	}
	if b.client == "" {
		return true
	}
	fits := false
	a.clients.Update(b.client, func(held int64, _ bool) (int64, bool) {
		fits = held+n <= a.perClient
		if fits {
			held += n
		}
		return held, held > 0
	})
	if !fits {
		a.Release(Large, n)
	}
	return fits
}

// Release returns all memory of the body.
func (b *Body) Release() {
	small, large := min(b.held, SmallBytes), max(b.held-SmallBytes, 0)
	b.held = 0
	if large > 0 && b.client != "" {
		b.account.clients.Update(b.client, func(held int64, _ bool) (int64, bool) { return held - large, held > large })
	}
	if large > 0 {
		b.account.Release(Large, large)
	}
	if small > 0 {
		b.account.Release(Small, small)
	}
}
