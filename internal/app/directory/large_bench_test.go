package directory

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// designFleetSize is the number of processes of the largest fleet in the design.
const designFleetSize = 2790

// newLargeDirectory returns a directory that knows a fleet of designFleetSize.
func newLargeDirectory() *Directory {
	d := newTestDirectory(nil, nil)
	for i := range designFleetSize - 1 {
		r := port.MemberRecord{
			ID: fmt.Sprintf("d%02d-w%d", i%14, i), Domain: fleet.Domain(fmt.Sprintf("d%02d", i%14)), Region: "r1",
			Address: fleet.Address(fmt.Sprintf("10.%d.%d.1:7100", i/250, i%250)), Incarnation: 1, Version: 1,
			Labels: map[string]string{"pool": "model", "rack": fmt.Sprint("r", i%40)},
		}
		if i >= 389 {
			r.Kind = fleet.KindAgent
			r.Status = &port.AgentStatus{VM: fleet.VM(r.ID), Group: "summaries", Ready: true, Version: fleet.Version(fmt.Sprintf("%064d", 1))}
		}
		// Decoded messages do not share strings.
		r.Domain, r.Region = fleet.Domain(strings.Clone(string(r.Domain))), fleet.Region(strings.Clone(string(r.Region)))
		_, _ = d.Handler().Exchange(context.Background(), port.ExchangeMessage{From: "x", Records: []port.MemberRecord{r}})
	}
	return d
}

// BenchmarkDesignSize measures the cost of a table of designFleetSize: the memory
// per member, and the time of a round, of a message between equal tables, of
// listing the members after a change, and of checking for the reader role.
func BenchmarkDesignSize(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := newLargeDirectory()
	runtime.GC()
	runtime.ReadMemStats(&after)
	perMember := float64(after.HeapAlloc-before.HeapAlloc) / designFleetSize
	now := d.deps.Clock.Now()
	b.Run("round", func(b *testing.B) {
		for b.Loop() {
			d.table.Tick(now)
			d.roundPartners(now)
		}
		b.ReportMetric(perMember, "B/member")
	})
	b.Run("head", func(b *testing.B) {
		for b.Loop() {
			d.gossip.NewMessage()
		}
	})
	b.Run("members", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.invalidateMemberLists()
			d.Members(fleet.KindAgent)
		}
	})
	b.Run("readers", func(b *testing.B) {
		for b.Loop() {
			d.table.IsReader()
		}
	})
	runtime.KeepAlive(d)
}
