package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// report holds the measurements of the demo.
type report struct {
	// The spread times are the times until all agents serve version 1, from the
	// start of the daemons, and version 2, from its declaration.
	spreadTime1, spreadTime2   time.Duration
	originBytes1, originBytes2 int64
	cordonTime, uncordonTime   time.Duration
	load                       *loadGenerator
}

func (r *report) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("version 1: time to all replicas", r.spreadTime1.Round(time.Millisecond))
	row("version 1: bytes drawn from the origin", r.originBytes1)
	row("version 2: time to all replicas", r.spreadTime2.Round(time.Millisecond))
	row("version 2: bytes drawn from the origin", r.originBytes2)
	row("cordon in effect after", r.cordonTime.Round(time.Millisecond))
	row("domain back after", r.uncordonTime.Round(time.Millisecond))
	row("requests answered", r.load.succeeded.Load())
	row("orders placed and repeated", r.load.orders.Load())
	row("requests refused, not run", r.load.refused.Load())
	row("errors", r.load.errors.Load())
	_ = t.Flush()
}
