// Command rig2 plays the cases of the second review: it starts the nodes as separate
// processes beside small stand-ins for the store, the servers and the requesters.
//
//	rig2 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to what plays it and reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"uploads":    playUploads,
	"stop-tail":  playStopTail,
	"stop-mixed": playStopMixed,
	"cut-off":    playCutOff,
	"memory":     playMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		rec.verdict("could not run: %v", err)
		code = exitFailed
	case broken:
		rec.verdict("the rule was broken")
		code = exitBroken
	default:
		rec.verdict("the rule held")
	}
	rec.close()
	os.Exit(code)
}
