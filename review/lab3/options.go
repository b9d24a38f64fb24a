//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
)

// optionsAsterisk sends OPTIONS requests, for the whole server or for a path.
func optionsAsterisk(d *deployment, trouble bool) ([]string, error) {
	g, ws, err := startSmall(d, "safe", "/desk/")
	if err != nil {
		return nil, err
	}
	target := "/desk/stations"
	if trouble {
		target = "*"
	}
	var broken []string
	for i := range 5 {
		id := fmt.Sprintf("r-%d", i)
		raw := "OPTIONS " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		answers, err := exchange(d, g.callers, http.MethodOptions, raw)
		if err != nil {
			return nil, err
		}
		for _, a := range answers {
			if a.status/100 == 2 && !strings.HasPrefix(a.signature, "signature of ") {
				broken = append(broken, fmt.Sprintf("MIXED: the client of %s got %d without a Response-Signature", id, a.status))
			}
		}
	}
	runsOf(d, ws)
	return broken, nil
}
