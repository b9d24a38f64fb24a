package loader

import (
	"net/netip"
	"time"

	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/port"
)

// reportSender sends load reports to the gateways: to those of its own domain at once, and to those
// of other domains at a rate that does not grow with their number.
type reportSender struct {
	sender  port.LoadSender
	metrics port.Metrics
	// own and others are the last reports to gateways of the own and of other domains.
	own, others sentReport
}

type sentReport struct {
	port.LoadReport
	at time.Time
}

func (s *reportSender) send(r port.LoadReport, to fanout.Group[netip.AddrPort], now time.Time) {
	s.sendTo(&s.own, r, to.Own(), 0, now)
	s.sendTo(&s.others, r, to.Others(), to.ReportInterval(), now)
}

// sendTo sends a report unless it says nothing new or the last one was sent within interval. What
// decides whether the target may get requests at all is sent at once.
func (s *reportSender) sendTo(last *sentReport, r port.LoadReport, to []netip.AddrPort, interval time.Duration, now time.Time) {
	age := now.Sub(last.at)
	switch {
	case len(to) == 0:
		return
	case !sameState(r, last.LoadReport):
	case sameLoad(r, last.LoadReport) && age < maxReportInterval, age < interval-reportInterval/2:
		return
	}
	*last = sentReport{r, now}
	if err := s.sender.SendReport(r, to); err != nil {
		s.metrics.Count("loader_reports_unsent_total", 1)
	}
}

// sameState reports whether two reports differ only in the numbers of requests, the memory and the age of the
// declaration.
func sameState(a, b port.LoadReport) bool {
	a.Load.Running, a.Load.Waiting = b.Load.Running, b.Load.Waiting
	return sameLoad(a, b)
}

// sameLoad reports whether two reports differ only in the memory and the age of the declaration. The memory
// changes with each token, and goes along with the next report.
func sameLoad(a, b port.LoadReport) bool {
	a.Load.Memory = b.Load.Memory
	a.Declared.Age, b.Declared.Age = moment.Age{}, moment.Age{}
	return a == b
}
