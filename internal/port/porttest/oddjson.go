package porttest

import (
	"encoding/json"
	"slices"
	"strings"

	"pgregory.net/rapid"
)

// oddValues are JSON values that another writer may leave in place of any value.
var oddValues = []string{
	`9223372036854775807`, `-9223372036854775808`, `9223372036854775808`, `9007199254740991`, `2147483647`, `-1`, `0`, `1`, `65535`, `1.5`,
	`1e300`, `-1e300`, `1e400`, `1e-320`, `null`, `true`, `""`, `"x"`, `"\u0000\n"`, `"ready"`, `"entry"`, `[]`, `{}`, `[null]`, `[{}]`, `[[[[]]]]`,
	`"10.0.0.2:99999"`, `"10.0.0.2:-1"`, `"10.0.0.2:0"`, `"10.0.0.2:2"`, `"[::1]:2"`, `"0.0.0.0:2"`, `"` + "é" + `"`,
}

// oddDocuments are documents that another writer may leave in place of a whole item.
var oddDocuments = [][]byte{
	nil, []byte("\xff\x00"), []byte(`{`), []byte(`{}`), []byte(`null`), []byte(`[]`), []byte(`7`),
	[]byte(strings.Repeat("[", 200000) + strings.Repeat("]", 200000)),
	[]byte(strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000)),
	[]byte(`{"Address":"` + strings.Repeat("a", 1<<20) + `"}`),
}

// OddJSON generates variants of a JSON document: with some values replaced, left out or
// repeated, other documents, and arbitrary bytes.
func OddJSON(document string) *rapid.Generator[[]byte] {
	var template any
	if err := json.Unmarshal([]byte(document), &template); err != nil {
		panic(err)
	}
	return rapid.Custom(func(t *rapid.T) []byte {
		switch rapid.IntRange(0, 9).Draw(t, "kind of document") {
		case 0:
			return rapid.SampledFrom(oddDocuments).Draw(t, "document")
		case 1:
			return rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		}
		// One value of that many is replaced.
		oneOf := rapid.SampledFrom([]int{3, 10, 30}).Draw(t, "one of")
		b, err := json.Marshal(vary(t, template, oneOf))
		if err != nil {
			panic(err)
		}
		return b
	})
}

// vary returns a variant of a JSON value, in which one value of oneOf is replaced.
func vary(t *rapid.T, v any, oneOf int) any {
	if rapid.IntRange(1, oneOf).Draw(t, "replaced") == 1 {
		return json.RawMessage(rapid.SampledFrom(oddValues).Draw(t, "value"))
	}
	switch x := v.(type) {
	case map[string]any:
		out := map[string]any{}
		var keys []string
		for k := range x {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			if rapid.IntRange(1, 20).Draw(t, "left out") != 20 {
				out[k] = vary(t, x[k], oneOf)
			}
		}
		return out
	case []any:
		out := []any{}
		for _, e := range x {
			for range rapid.SampledFrom([]int{0, 1, 1, 1, 1, 3}).Draw(t, "copies") {
				out = append(out, vary(t, e, oneOf))
			}
		}
		return out
	default:
		return v
	}
}
