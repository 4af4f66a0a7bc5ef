// Command fpplatform is a stand-in for the platform in tests and demonstrations.
// It serves the configuration and the list of VMs.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/standin/platformserver"
)

func main() {
	app := kingpin.New("fpplatform", "Stand-in for the platform: configuration service and VM list.")
	listen := app.Flag("listen", "Address to listen on, as ip:port.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "fpplatform"})
	s := &http.Server{Addr: *listen, Handler: platformserver.New(), ReadHeaderTimeout: 5 * time.Second}
	if err := s.ListenAndServe(); err != nil {
		log.Error("server failed", "error", err.Error())
		os.Exit(1)
	}
}
