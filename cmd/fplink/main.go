// Command fplink simulates the network between availability zones in tests and
// demonstrations by forwarding TCP connections with a delay.
package main

import (
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/standin/link"
)

func main() {
	app := kingpin.New("fplink", "TCP forwarder that adds delays. Reads routes as a JSON array from standard input.")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "fplink"})
	if err := run(); err != nil {
		log.Error("forwarder failed", "error", err.Error())
		os.Exit(1)
	}
}

func run() error {
	var routes []link.Route
	if err := json.NewDecoder(os.Stdin).Decode(&routes); err != nil {
		return err
	}
	for _, r := range routes {
		f, err := link.Listen(r.Listen, r.Target, func(from net.Addr) time.Duration {
			host, _, _ := net.SplitHostPort(from.String())
			return time.Duration(r.Delays[host]) * time.Microsecond
		})
		if err != nil {
			return err
		}
		defer f.Close()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}
