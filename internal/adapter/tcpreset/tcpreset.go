// Package tcpreset resets the connections of requests that are given up. After a regular close,
// the kernel still sends what it holds of the request, and the peer learns only behind it that
// nobody waits for a response.
package tcpreset

import "net"

// OnClose makes the close of a TCP connection reset it, which drops what was not sent. Other
// connections stay as they are.
func OnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error is ignored: it means that the connection is closed already.
		_ = t.SetLinger(0)
	}
}

// Close resets a TCP connection and closes any other one.
func Close(c net.Conn) {
	OnClose(c)
	_ = c.Close()
}
