package placement

import (
	"sync"
	"time"
)

// NoticeLimit limits the datagrams about speeds that a process sends. It allows bursts, since a change that
// follows another is worth as much.
type NoticeLimit struct {
	mu        sync.Mutex
	allowance float64
	at        time.Time
}

const (
	// noticesPerSecond is the number of datagrams that may be sent. With 16 bytes each that is a third of the 3
	// KB/s for all control traffic. The load test needs 32 notices a second from 18 gateways to 17 others
	// each, 30 datagrams a second for a gateway.
	noticesPerSecond = 64
	// noticeBurst is the time for which the allowance accumulates.
	noticeBurst = 2 * time.Second
)

// NewNoticeLimit returns a limit with its full allowance.
func NewNoticeLimit(now time.Time) *NoticeLimit {
	return &NoticeLimit{allowance: noticesPerSecond * noticeBurst.Seconds(), at: now}
}

// Take takes n datagrams from the allowance if any is left, and reports whether it did.
func (l *NoticeLimit) Take(n int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.allowance, l.at = min(l.allowance+noticesPerSecond*elapsed.Seconds(), noticesPerSecond*noticeBurst.Seconds()), now
	}
	if l.allowance <= 0 {
		return false
	}
	l.allowance -= float64(n)
	return true
}
