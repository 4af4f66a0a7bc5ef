// Command fpupstream is a stand-in for an upstream, for tests and
// demonstrations.
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
	listen := app.Flag("listen", "Address, ip:port.").Required().String()
	vm := app.Flag("vm", "VM id told in answers.").Required().String()
	slots := app.Flag("slots", "Calls that may run at once.").Default("6").Int64()
	work := app.Flag("work", "Time that a call takes.").Default("1ms").Duration()
	queue := app.Flag("queue", "Let calls beyond the slots wait instead of counting them.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "fpupstream"})
	h := upstream.New(upstream.Config{VM: *vm, Slots: *slots, Work: *work, Queue: *queue, Crash: func() { os.Exit(3) }})
	s := &http.Server{Addr: *listen, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if err := s.ListenAndServe(); err != nil {
		log.Error("the stand-in ended", "error", err.Error())
		os.Exit(1)
	}
}
