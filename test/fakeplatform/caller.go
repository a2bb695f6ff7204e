package fakeplatform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
)

// CallerKey is the API key of team north.
const CallerKey = "key-1"

// Send sends a request to the entry at ip and returns the HTTP status after reading the whole
// response, or 0 if there is no whole response.
func Send(client *http.Client, ip, path, id string) int {
	return SendTo(client, net.JoinHostPort(ip, PortCallers), path, id)
}

// SendTo is Send for an address with a port.
func SendTo(client *http.Client, address, path, id string) int {
	req, err := NewRequest(address, path, id)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Resolve asks the entry at ip which addresses to connect to. It returns nil if the entry does not
// answer.
func Resolve(client *http.Client, ip string) []string {
	resp, err := client.Get("http://" + net.JoinHostPort(ip, PortDirectory) + "/apricothub/resolve?name=h.example")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// NewRequest returns a POST request of team north to an address.
func NewRequest(address, path, id string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Api-Key": CallerKey, "Deadline-Ms": "6000"} {
		req.Header.Set(name, value)
	}
	return req, nil
}

// IsReady reports whether the readiness endpoint of the entry at ip returns 200.
func IsReady(ip string) bool {
	resp, err := http.Get("http://" + net.JoinHostPort(ip, PortReadiness) + "/apricothub/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
