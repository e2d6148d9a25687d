package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"text/template"
)

// The names of the platform's wire are data, since only the package platform may hold them in Go.
//
//go:embed wire.json state.tmpl heartbeat.tmpl
var files embed.FS

// wireNames are the names of the platform's header fields.
type wireNames struct {
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
func mustReadWire() wireNames {
	var names wireNames
	data, err := files.ReadFile("wire.json")
	if err == nil {
		err = json.Unmarshal(data, &names)
	}
	if err != nil {
		panic(fmt.Sprintf("wire.json: %v", err))
	}
	return names
}

// mustFill returns the text of a template. It panics if a value doesn't fit, which is a fault of the case.
func mustFill(name string, values any) []byte {
	var text bytes.Buffer
	if err := templates.ExecuteTemplate(&text, name, values); err != nil {
		panic(err)
	}
	return text.Bytes()
}

// route is one route of a desired state.
type route struct {
	Name, Prefix, Service string
	Safe                  bool
	Timeout               float64
	Attempts              int
}

// host is the one host of all desired states here.
const host = "ficu95.example"

// state returns a desired state.
func state(version int, services []string, routes []route) []byte {
	return mustFill("state.tmpl", struct {
		Version  int
		Host     string
		Services []string
		Routes   []route
	}{version, host, services, routes})
}

// heartbeat returns the body of a heartbeat, without the field sequence if it is zero.
func heartbeat(address, service, zone string, born int64, sequence int) []byte {
	return mustFill("heartbeat.tmpl", struct {
		Address, Service, Zone string
		Born                   int64
		Sequence               int
	}{address, service, zone, born, sequence})
}
