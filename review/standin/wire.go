package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"text/template"
)

// The names of the platform's wire are data, since only the package platform may hold them in Go.
//
//go:embed wire.json config.tmpl settings.tmpl heartbeat.tmpl
var files embed.FS

// headerNames are the names of the platform's header fields.
type headerNames struct {
	RequestID string `json:"request-id"`
	Timeout   string `json:"timeout"`
	Target    string `json:"target"`
	Seal      string `json:"seal"`
	NotRun    string `json:"not-run"`
	Load      string `json:"load"`
	Instance  string `json:"instance"`
	Caller    string `json:"caller"`
}

var (
	wire      = mustReadWire()
	templates = template.Must(template.ParseFS(files, "*.tmpl"))
)

// mustReadWire reads the embedded names. It panics if the embedded file is not valid.
func mustReadWire() headerNames {
	var names headerNames
	data, err := files.ReadFile("wire.json")
	if err == nil {
		err = json.Unmarshal(data, &names)
	}
	if err != nil {
		panic(fmt.Sprintf("wire.json: %v", err))
	}
	return names
}
