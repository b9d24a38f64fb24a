package port

import "time"

// Attr is an attribute of a measurement, such as the class of a request.
type Attr struct{ Key, Value string }

// Metrics records measurements. Names carry their unit. Implementations bound
// the number of distinct values per attribute.
type Metrics interface {
	// Count adds n to a counter.
	Count(name string, n int64, attrs ...Attr)
	// Seconds records a duration in a histogram.
	Seconds(name string, d time.Duration, attrs ...Attr)
	// Gauge sets a value.
	Gauge(name string, v float64, attrs ...Attr)
}
