package bytesize

import "testing"

// FuzzParse guards against overflow, and against sizes that change when they
// are formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add("64MiB")
	f.Add("9223372036854775807GiB")
	f.Fuzz(func(t *testing.T, v string) {
		n, err := Parse(v)
		if err != nil {
			return
		}
		back, err := Parse(Format(n))
		if n < 0 || err != nil || back != n {
			t.Fatalf("%q = %d, parsed again %d, %v", v, n, back, err)
		}
	})
}
