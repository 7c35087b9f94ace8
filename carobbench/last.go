package main

// This file prints the last line of a run, which the report reads.

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// printLast prints a summary as one line of JSON.
func printLast(summary any) error {
	line, err := json.Marshal(summary)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	fmt.Println(string(line))
	return nil
}
