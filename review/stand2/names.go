package main

// This file reads the platform's names, which stand in a data file.

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// names holds the platform's names by the words of this module.
var names map[string]string

// dataDir returns the folder of the data files.
func dataDir() string {
	if dir := os.Getenv("STAND_DATA"); dir != "" {
		return dir
	}
	return filepath.Join("review", "stand2")
}

// loadNames reads the data file.
func loadNames() error {
	data, err := os.ReadFile(filepath.Join(dataDir(), "names.json"))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, &names)
}

// name returns one of the platform's names.
func name(word string) string {
	n, ok := names[word]
	if !ok {
		panic(fmt.Sprintf("no name for %q in names.json", word))
	}
	return n
}
