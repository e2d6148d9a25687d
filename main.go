// Command marigoldrelay is a load balancer for servers whose load changes within milliseconds.
package main

import (
	"os"

	"github.com/marigoldrelay/marigoldrelay/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
