package main

// This file prints the summary of a run, which the report command reads.

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// printSummary prints a summary as one line of JSON. It must be the last line
// of the output, where the report command looks for it.
func printSummary(summary any) error {
	line, err := json.Marshal(summary)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	fmt.Println(string(line))
	return nil
}
