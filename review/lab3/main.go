//go:build review

// Command lab3 plays one case of the review: it starts the project's programs as processes on loopback
// addresses, between stand-ins of the platform, of workers and of clients, and checks one rule.
//
// Usage: lab3 CASE RECORD, from the root of the repository. With TROUBLE=0 in the environment the case is
// played without its disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// play runs a case and returns the ways in which the rule was broken.
type play func(d *deployment, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"http10-framing":       http10Framing,
	"options-asterisk":     optionsAsterisk,
	"cold-after-lapse":     coldAfterLapse,
	"foreign-entries":      restartBesideForeignEntries,
	"silent-channels":      releaseBehindSilentChannels,
	"lost-registration":    lostRegistration,
	"old-weights":          oldWeights,
	"drain-across-restore": drainAcrossRestore,
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return 2
	}
	f, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = f.Close() }()
	r := &record{f: f, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %v", args[0], trouble)
	d, err := newDeployment(r)
	if err == nil {
		defer d.close()
		var broken []string
		if broken, err = cases[args[0]](d, trouble); err == nil {
			return report(r, broken)
		}
	}
	r.printf("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// report writes the outcome and returns the exit status.
func report(r *record, broken []string) int {
	for _, b := range broken {
		r.printf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
