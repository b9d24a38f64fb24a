// Package bytesize parses and formats sizes in bytes with a unit.
package bytesize

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid means that a text is not a size.
var ErrInvalid = errors.New("invalid size")

var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Parse parses a size with an optional unit of B, KiB, MiB or GiB.
func Parse(v string) (int64, error) {
	for _, u := range byteUnits {
		num, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			return 0, ErrInvalid
		}
		return n * u.bytes, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return 0, ErrInvalid
	}
	return n, nil
}

// Format formats n in the largest unit that divides it without remainder.
func Format(n int64) string {
	for _, u := range byteUnits {
		if n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.suffix)
		}
	}
	return strconv.FormatInt(n, 10)
}
