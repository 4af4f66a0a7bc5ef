// Command fpctl is the operators' tool: it checks, signs and prepares versions of
// the document for publication and queries nodes.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
