// Command fpupstream is a stand-in for an upstream in tests and demonstrations.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/standin/upstream"
)

func main() {
	app := kingpin.New("fpupstream", "Stand-in for an upstream.")
	listen := app.Flag("listen", "Address to listen on, as ip:port.").Required().String()
	vm := app.Flag("vm", "VM id to report in responses.").Required().String()
	slots := app.Flag("slots", "Number of calls that may run at once.").Default("6").Int64()
	work := app.Flag("work", "Duration of a call.").Default("1ms").Duration()
	queue := app.Flag("queue", "Let calls in excess of the slots wait; otherwise they run immediately and are counted.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "fpupstream"})
	h := upstream.New(upstream.Config{VM: *vm, Slots: *slots, Work: *work, Queue: *queue, Crash: func() { os.Exit(3) }})
	s := &http.Server{Addr: *listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := s.ListenAndServe(); err != nil {
		log.Error("server failed", "error", err.Error())
		os.Exit(1)
	}
}
