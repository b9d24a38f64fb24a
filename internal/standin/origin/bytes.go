package origin

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ParseBytes parses a size in bytes such as "16MiB", "256KiB" or "1000".
func ParseBytes(s string) (int64, error) {
	unit := int64(1)
	for suffix, n := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if rest, ok := strings.CutSuffix(s, suffix); ok {
			s, unit = rest, n
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Errorf("%q is not a size", s)
	}
	return n * unit, nil
}
