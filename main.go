// Oleanderflow is a session-consistent database proxy.
package main

import (
	"os"

	"github.com/oleanderflow/oleanderflow/internal/core"
)

func main() {
	os.Exit(core.Run(core.ParseOptions(os.Args[1:])))
}
