// Command standin starts a small deployment of masticwing-gateway and masticwing-loader with
// stand-ins of the platform's store, the origin, the engines and the clients, and plays a case.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(dir string, rec *record, trouble bool) (broken bool, err error){
	"whole":    whole,
	"channels": channels,
	"bodies":   bodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE TEMPORARY-FOLDER RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signal.Ignore(syscall.SIGHUP)
	broken, err := cases[os.Args[1]](os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.add("result: the rule is broken")
		return 1
	}
	rec.add("result: the rule held")
	return 0
}
