package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// report is what the demo measured.
type report struct {
	// replicas1 counts from the start of the daemons, replicas2 from the
	// declaration of version 2.
	replicas1, replicas2 time.Duration
	origin1, origin2     int64
	cordoned, returned   time.Duration
	load                 *load
}

func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("version 1: time to all replicas", r.replicas1.Round(time.Millisecond))
	row("version 1: bytes drawn from the origin", r.origin1)
	row("version 2: time to all replicas", r.replicas2.Round(time.Millisecond))
	row("version 2: bytes drawn from the origin", r.origin2)
	row("cordon in effect after", r.cordoned.Round(time.Millisecond))
	row("domain back after", r.returned.Round(time.Millisecond))
	row("requests answered", r.load.answered.Load())
	row("orders placed and repeated", r.load.orders.Load())
	row("requests refused, not run", r.load.refused.Load())
	row("errors", r.load.errors.Load())
	_ = t.Flush()
}
