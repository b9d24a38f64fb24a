package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/bytesize"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// String registers a key for any text. If the key is required, the text must not
// be empty.
func (s *Set) String(section, key string, p *string, def, help string) {
	s.register(section, key, def, help, "text", func(v string) error {
		*p = v
		return nil
	})
}

// Name registers a key for a name of letters, digits, dots, dashes and
// underscores.
func (s *Set) Name(section, key string, set func(string), def, help string) {
	s.register(section, key, def, help, "letters, digits, '.', '-' and '_', at most 128", func(v string) error {
		if !validName(v) {
			return errInvalidValue
		}
		set(v)
		return nil
	})
}

func validName(v string) bool {
	if len(v) == 0 || len(v) > 128 {
		return false
	}
	for _, r := range v {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
		if !ok {
			return false
		}
	}
	return true
}

// Int registers a key for a whole number from low to high.
func (s *Set) Int(section, key string, p *int, def, low, high int, help string) {
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	s.register(section, key, strconv.Itoa(def), help, allowed, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return errInvalidValue
		}
		*p = n
		return nil
	})
}

// Float registers a key for a number from low to high.
func (s *Set) Float(section, key string, p *float64, def, low, high float64, help string) {
	allowed := fmt.Sprintf("a number from %g to %g", low, high)
	s.register(section, key, strconv.FormatFloat(def, 'g', -1, 64), help, allowed, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= low && n <= high) {
			return errInvalidValue
		}
		*p = n
		return nil
	})
}

// Bool registers a key whose value is true or false.
func (s *Set) Bool(section, key string, p *bool, def bool, help string) {
	s.register(section, key, strconv.FormatBool(def), help, "true or false", func(v string) error {
		if v != "true" && v != "false" {
			return errInvalidValue
		}
		*p = v == "true"
		return nil
	})
}

// Duration registers a key for a duration from low to high.
func (s *Set) Duration(section, key string, p *time.Duration, def, low, high time.Duration, help string) {
	allowed := fmt.Sprintf("a duration from %v to %v", low, high)
	s.register(section, key, def.String(), help, allowed, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errInvalidValue
		}
		*p = d
		return nil
	})
}

// Bytes registers a key for a size such as "64MiB", "20KiB" or "1000", from low
// to high bytes.
func (s *Set) Bytes(section, key string, p *int64, def, low, high int64, help string) {
	allowed := fmt.Sprintf("a size from %s to %s", bytesize.Format(low), bytesize.Format(high))
	s.register(section, key, bytesize.Format(def), help, allowed, func(v string) error {
		n, err := bytesize.Parse(v)
		if err != nil || n < low || n > high {
			return errInvalidValue
		}
		*p = n
		return nil
	})
}

// Address registers a key for an "ip:port". An empty default makes the key optional.
func (s *Set) Address(section, key string, p *fleet.Address, def, help string) {
	s.register(section, key, def, help, "ip:port", func(v string) error {
		if v == "" && def == "" {
			return nil
		}
		if !validAddress(v) {
			return errInvalidValue
		}
		*p = fleet.Address(v)
		return nil
	})
}

// IP registers a key for an IP address. If the value is empty, p is not changed.
func (s *Set) IP(section, key string, p *netip.Addr, def, help string) {
	s.register(section, key, def, help, "an IP address", func(v string) error {
		if v == "" {
			return nil
		}
		a, err := netip.ParseAddr(v)
		*p = a
		return err
	})
}

// Addresses registers a key for a comma-separated list of "ip:port", which may be
// empty.
func (s *Set) Addresses(section, key string, p *[]fleet.Address, def, help string) {
	s.register(section, key, def, help, "ip:port, separated by commas", func(v string) error {
		var out []fleet.Address
		for _, a := range splitList(v) {
			if !validAddress(a) {
				return errInvalidValue
			}
			out = append(out, fleet.Address(a))
		}
		*p = out
		return nil
	})
}

// Labels registers a key for a comma-separated list of key=value.
func (s *Set) Labels(section, key string, p *map[string]string, def, help string) {
	s.register(section, key, def, help, "key=value, separated by commas", func(v string) error {
		out := map[string]string{}
		for _, kv := range splitList(v) {
			k, val, ok := strings.Cut(kv, "=")
			if !ok || !validName(k) {
				return errInvalidValue
			}
			out[k] = val
		}
		*p = out
		return nil
	})
}

func splitList(v string) []string {
	var out []string
	for _, p := range strings.Split(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			out = append(out, p)
		}
	}
	return out
}

func validAddress(v string) bool {
	_, err := netip.ParseAddrPort(v)
	return err == nil
}

var errInvalidValue = fmt.Errorf("value not allowed")
