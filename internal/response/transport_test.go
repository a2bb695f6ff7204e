package response

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/test/earlyanswer"
	"github.com/apricothub/apricothub/test/malformed"
)

// read reads a whole response over a transport.
func read(t *testing.T, transport http.RoundTripper, method, url string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bounded.ReadAll(resp.Body, 1<<20, "the body")
	return string(body), err
}

// Guards against a transport that is more lenient than RFC 9112, as that of net/http is.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	for _, m := range malformed.Responses() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			transport := Transport(&http.Transport{})
			defer transport.CloseIdleConnections()
			if body, err := read(t, transport, http.MethodGet, "http://"+malformed.Serve(t, m.Text("r1"))); err == nil {
				t.Errorf("read as %q", body)
			}
		})
	}
}

// Guards against a caller of a transport that cannot tell a malformed response from a broken connection.
func TestTransportTellsMalformedResponses(t *testing.T) {
	_, err := read(t, Transport(&http.Transport{DisableKeepAlives: true}), http.MethodGet, "http://"+malformed.Serve(t, "HTTP/1.1 200 OK\r\nX Spoiled: 1\r\n\r\n"))
	var syntax *SyntaxError
	if !errors.As(err, &syntax) {
		t.Errorf("error %v, want a SyntaxError", err)
	}
}

// Guards against a transport that refuses sound responses: over kept connections, to HEAD requests and over TLS.
func TestTransportReadsSoundResponses(t *testing.T) {
	url := "http://" + malformed.Serve(t, malformed.Sound("r1"))
	kept := Transport(&http.Transport{})
	defer kept.CloseIdleConnections()
	for range 3 {
		if body, err := read(t, kept, http.MethodGet, url); err != nil || body == "" {
			t.Errorf("kept connection: %q, %v", body, err)
		}
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
	})
	plain, encrypted := httptest.NewServer(handler), httptest.NewTLSServer(handler)
	defer plain.Close()
	defer encrypted.Close()
	config := encrypted.Client().Transport.(*http.Transport).TLSClientConfig
	single := Transport(&http.Transport{DisableKeepAlives: true, TLSClientConfig: config})
	for _, url := range []string{plain.URL, encrypted.URL} {
		for method, want := range map[string]string{http.MethodGet: "ok", http.MethodHead: ""} {
			if body, err := read(t, single, method, url); err != nil || body != want {
				t.Errorf("%s %s: %q, %v", method, url, body, err)
			}
		}
	}
	if _, err := read(t, Transport(&http.Transport{DisableKeepAlives: true}), http.MethodGet, encrypted.URL); err == nil {
		t.Error("a certificate that nobody vouches for was accepted")
	}
}

// serveEarly serves an early answer with and without TLS, and returns URLs and a transport for both.
func serveEarly(t *testing.T, a earlyanswer.Answer) (plain, encrypted string, transport *http.Transport) {
	t.Helper()
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	answer := func(*http.Request) earlyanswer.Answer { return a }
	plain = "http://" + earlyanswer.Serve(t, answer).Address()
	encrypted = "https://" + earlyanswer.ServeTLS(t, certified.TLS, answer).Address()
	config := certified.Client().Transport.(*http.Transport).TLSClientConfig
	return plain, encrypted, Transport(&http.Transport{DisableKeepAlives: true, TLSClientConfig: config})
}

// send sends a request with a body of size bytes and reads its response.
func send(t *testing.T, transport http.RoundTripper, url string, size int) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bounded.ReadAll(resp.Body, 1<<20, "the body")
	return string(body), err
}

// Guards against a transport that takes a part of an answer for the whole: one that was reset, or that ended without the
// close_notify of TLS.
func TestTransportRefusesResponsesThatAreCut(t *testing.T) {
	for name, a := range earlyanswer.Cut("text/plain") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plain, encrypted, transport := serveEarly(t, a)
			for _, size := range a.Uploads() {
				for _, url := range []string{plain, encrypted} {
					if body, err := send(t, transport, url, size); err == nil {
						t.Errorf("%s, %d bytes: read as %q", url, size, body)
					}
				}
			}
		})
	}
	for name, a := range earlyanswer.CutByExit("text/plain") {
		t.Run("TLS and exit/"+name, func(t *testing.T) {
			t.Parallel()
			_, encrypted, transport := serveEarly(t, a)
			if body, err := send(t, transport, encrypted, 10); err == nil {
				t.Errorf("read as %q", body)
			}
		})
	}
}

// Guards against a transport that refuses whole responses.
func TestTransportReadsWholeResponses(t *testing.T) {
	for name, a := range earlyanswer.Whole("text/plain") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plain, encrypted, transport := serveEarly(t, a)
			for _, url := range []string{plain, encrypted} {
				isCut := url == encrypted && a.End == earlyanswer.Close && !strings.Contains(a.Text, "Length")
				if body, err := send(t, transport, url, 0); (err != nil) != isCut || !isCut && body != a.Body {
					t.Errorf("%s: read as %q, %v", url, body, err)
				}
			}
		})
	}
}
