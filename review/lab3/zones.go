//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startThreeZones starts gateways in each zone and workers of a plain service. coldPerS is the rate that a
// cold worker takes, or zero.
func startThreeZones(d *deployment, coldPerS float64, workers, gatewaysPerZone int) ([]*gateway, []*worker, error) {
	service := map[string]any{"Name": "desk", "MaxConns": 110, "HealthPath": "/health"}
	if coldPerS > 0 {
		service["ColdPerS"] = coldPerS
	}
	d.putConfig(map[string]any{
		"Version": 1, "Services": []map[string]any{service},
		"Routes": []map[string]any{{
			"Name": "stations", "Host": host, "Prefix": "/desk/", "Kind": "safe", "Service": "desk", "MaxAttempts": 2,
			"TimeoutMs": 2000, "TargetLatencyMs": 200, "Priority": 1,
		}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	})
	var ws []*worker
	for i := range workers {
		w, err := d.addWorker(fmt.Sprintf("i-%d", i), "desk", zones[i%len(zones)], 6, 15*time.Millisecond, 0)
		if err != nil {
			return nil, nil, err
		}
		ws = append(ws, w)
	}
	var gs []*gateway
	for i := range gatewaysPerZone {
		for _, z := range zones {
			g, err := d.addGateway(fmt.Sprintf("gateway-%s-%d", z, i+1), z)
			if err != nil {
				return nil, nil, err
			}
			gs = append(gs, g)
		}
	}
	return gs, ws, nil
}

func containsAny(s string, parts ...string) bool {
	for _, p := range parts {
		if strings.Contains(s, p) {
			return true
		}
	}
	return false
}
