// Command fpctl is the operators' tool: it checks, accepts and prepares
// versions of the document and asks nodes about theirs.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
