// Command apricotspokectl is the operators' command-line client.
package main

import (
	"os"

	"github.com/apricotspoke/apricotspoke/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
