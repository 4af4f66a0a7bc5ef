// Command rig plays one case of the review with the project's fpsidecar as separate
// processes. Requesters, servers and the store are stand-ins in this process. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each case's file adds its own.
var cases = map[string]func(b *bed, trouble bool) error{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = rec.f.Close() }()
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	b, err := newBed(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", name, trouble)
	if err := run(b, trouble); err != nil {
		rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.log("breaches: %d", rec.breaches())
	fmt.Printf("%s: trouble %v, breaches %d\n", name, trouble, rec.breaches())
	if rec.breaches() > 0 {
		return 1
	}
	return 0
}
