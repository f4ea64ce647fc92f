package main

import (
	"os"

	"github.com/apricotspoke/apricotspoke/trials/experiment"
)

type compareCommand struct {
	Files struct {
		First  string `positional-arg-name:"first" description:"JSON report of the first run"`
		Second string `positional-arg-name:"second" description:"JSON report of the second run"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the ratios of the second run's figures to those of the first.
func (c *compareCommand) Execute([]string) error {
	first, err := experiment.ReadReport(c.Files.First)
	if err != nil {
		return err
	}
	second, err := experiment.ReadReport(c.Files.Second)
	if err != nil {
		return err
	}
	experiment.Compare(os.Stdout, first, second)
	return nil
}
