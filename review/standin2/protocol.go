package main

import (
	"bytes"
	_ "embed" // for the files below
	"encoding/json"
	"text/template"
)

// The platform's names stand in files of their own: Go code outside the adapter has none.
var (
	//go:embed headers.json
	headersFile []byte
	//go:embed config.json.tmpl
	configFile string
)

// headerNames are the headers that the stand-ins use.
type headerNames struct {
	RequestID        string `json:"request_id"`
	InstanceID       string `json:"instance_id"`
	ExpectedInstance string `json:"expected_instance"`
	Seal             string `json:"seal"`
	Key              string `json:"key"`
	Timeout          string `json:"timeout"`
}

var headers = readHeaders()

func readHeaders() headerNames {
	var names headerNames
	if err := json.Unmarshal(headersFile, &names); err != nil {
		panic(err) // the embedded file is part of the program
	}
	return names
}

var configTemplate = template.Must(template.New("config").Parse(configFile))

// configValues are the values of the operator's configuration.
type configValues struct {
	Version                          int64
	Host, Unsafe, Safe, Service, Key string
	Rate                             int
}

func encodeConfig(values configValues) ([]byte, error) {
	var encoded bytes.Buffer
	err := configTemplate.Execute(&encoded, values)
	return encoded.Bytes(), err
}
