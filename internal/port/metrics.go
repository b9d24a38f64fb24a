package port

import "time"

// Attr is an attribute (label) of a measurement, such as the class of a request.
type Attr struct{ Key, Value string }

// Metrics records measurements. Metric names include the unit. Implementations
// limit the number of distinct values per attribute.
type Metrics interface {
	// Count adds n to a counter.
	Count(name string, n int64, attrs ...Attr)
	// Seconds records a duration in a histogram of seconds.
	Seconds(name string, d time.Duration, attrs ...Attr)
	// Gauge sets the value of a gauge.
	Gauge(name string, value float64, attrs ...Attr)
}
