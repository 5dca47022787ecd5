package main

import (
	_ "embed" // for headers.json
	"encoding/json"
)

// headerNames holds the names of the headers on the wire.
type headerNames struct {
	Tokens    string `json:"tokens"`
	Parts     string `json:"parts"`
	Timeout   string `json:"timeout"`
	Signature string `json:"signature"`
	NotRun    string `json:"not_run"`
	Target    string `json:"target"`
}

//go:embed headers.json
var headerFile []byte

// headers are the names of the headers on the wire. They stand in a data file, because the
// platform's names are kept out of Go files other than those of the adapter.
var headers = func() (names headerNames) {
	if err := json.Unmarshal(headerFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()
