// Command rig3 plays the scripted cases of the review: it starts nodes of the project
// as separate processes beside stand-ins of the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// trial is one play of a case.
type trial struct {
	repo, dir string
	rec       *record
	// trouble is false if the disruption is left out.
	trouble bool
}

var cases = map[string]func(*trial) (broken bool, err error){
	"store-restored":   storeRestored,
	"limit-forgotten":  limitForgotten,
	"crashing-request": crashingRequest,
	"version-refused":  versionRefused,
	"watch-cut":        watchCut,
	"sent-ahead":       sentAhead,
	"lapsed-servers":   lapsedServers,
	"request-denied":   properRequestDenied,
	"encoded-prefix":   encodedPrefix,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE REPOSITORY RECORD")
		return exitFailed
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitFailed
	}
	repo, err := filepath.Abs(os.Args[2])
	if err != nil {
		return fail(err)
	}
	rec, err := openRecord(os.Args[3])
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	watchdog(rec)
	broken, err := run(&trial{repo: repo, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		rec.add("judge", "could not run: %v", err)
		return fail(err)
	}
	if broken {
		rec.add("judge", "the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.add("judge", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// playLimit is how long a case may run.
const playLimit = 110 * time.Second

// watchdog ends the started nodes and this program if the case takes too long or the
// program is told to stop.
func watchdog(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-time.After(playLimit):
		case <-signals:
		}
		killStarted()
		rec.close()
		os.Exit(exitFailed)
	}()
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return exitFailed
}
