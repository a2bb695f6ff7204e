package fakeplatform

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// CallerKey is the key of team north.
const CallerKey = "key-1"

// Ask sends a request to the entry with an IP, and returns the status once the whole answer is
// there; zero for none.
func Ask(client *http.Client, ip, path, id string) int {
	return AskAt(client, net.JoinHostPort(ip, PortCallers), path, id)
}

// AskAt sends a request to an address, as Ask does.
func AskAt(client *http.Client, address, path, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Api-Key": CallerKey, "Deadline-Ms": "6000"} {
		req.Header.Set(name, value)
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

// Ready says whether the entry at an address takes new connections.
func Ready(ip string) bool {
	resp, err := http.Get("http://" + net.JoinHostPort(ip, PortReadiness) + "/apricothub/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
