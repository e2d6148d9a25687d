package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	host           = "desk.example"
	operatorWait   = time.Second
	operatorPause  = 200 * time.Millisecond
	formingTimeout = 40 * time.Second
)

// route is a route of the desired state.
type route struct {
	Name, Type, Service string
	TimeoutSeconds      float64
}

// virtualHost is a host with its routes.
type virtualHost struct {
	Name   string
	Routes []route
}

// desiredState is what the operator sends.
type desiredState struct {
	Version  uint64
	Services []string
	Hosts    []virtualHost
}

var errRefused = errors.New("the desired state is refused")

// put sends a desired state until it is acknowledged, to the core machines in turn.
func (d *deployment) put(base uint64, state desiredState) error {
	var text bytes.Buffer
	if err := templates.ExecuteTemplate(&text, "config.tmpl", state); err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorWait}
	deadline := time.Now().Add(formingTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		m := d.core[i%len(d.core)]
		request, err := http.NewRequest(http.MethodPut, "http://"+m.Control+"/config", bytes.NewReader(text.Bytes()))
		if err != nil {
			return err
		}
		request.Header.Set("If-Match", fmt.Sprintf("%08x", base))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.printf("%s acknowledges version %d", m.Name, state.Version)
				return nil
			}
			if response.StatusCode < http.StatusInternalServerError {
				return fmt.Errorf("%w: %s", errRefused, response.Status)
			}
		}
		time.Sleep(operatorPause)
	}
	return errors.New("the desired state is never acknowledged")
}

// get sends a GET request to an address of the platform.
func get(address, path string) (status int, body []byte) {
	client := &http.Client{Timeout: operatorWait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}
