package ctl

import "testing"

// TestExplainCommand guards against changes of the output for a failed request,
// and against a wrong exit code for a request that no log line names.
func TestExplainCommand(t *testing.T) {
	h := newHarness(t)
	h.writeFile("gateway.log", `{"time":"2026-01-02T08:56:40.000Z","role":"masticwing-gateway","id":"g1","target":"i-1","service":"llm","address":"10.1.0.18:8724","domain":"a","message":"target"}
{"time":"2026-01-02T08:56:59.000Z","role":"masticwing-gateway","id":"g1","prefix":"op/","message":"lost the store"}
{"time":"2026-01-02T08:57:00.000Z","role":"masticwing-gateway","id":"g1","request":"9441fb76156d7fb3","outcome":"refused","sends":1,"runs":1,"target":"i-1","code":"target_lost","verdict":"may-have-run","message":"request"}
`)
	h.writeFile("loader.log", `{"time":"2026-01-02T08:56:30.000Z","role":"masticwing-loader","id":"l1","admin":"10.1.0.18:9100","message":"started"}
{"time":"2026-01-02T08:56:59.500Z","role":"masticwing-loader","id":"l1","error":"connection refused","message":"lost the engine"}
`)
	h.run("explain 9441fb76156d7fb3 gateway.log loader.log")
	h.run("explain 0000000000000000 gateway.log")
	h.run("explain 9441fb76156d7fb3")
	h.assertGolden("explain")
}
