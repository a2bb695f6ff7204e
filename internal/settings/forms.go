package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// Forms of values that a `setting` option may specify.
const (
	formAddress = "address"
	formName    = "name"
	formURL     = "url"
	formSHA256  = "sha256"
	formCall    = "call"
	formFile    = "file"
)

const (
	maxNameBytes = 100
	// minSecretBytes is the minimum length of a shared secret. A shorter one can be guessed over
	// the network.
	minSecretBytes = 16
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	callPattern = regexp.MustCompile(`^[A-Z]+ /[A-Za-z0-9._~!$&'()*+;=:@%/-]*$`)
)

// checkForm returns an error if a text value does not have the form.
func checkForm(form, value string) error {
	switch form {
	case "":
		return nil
	case formAddress:
		return checkAddress(value)
	case formName:
		return checkName(value)
	case formURL:
		return checkURL(value)
	case formSHA256:
		return checkSHA256(value)
	case formCall:
		return checkCall(value)
	case formFile:
		return nil
	}
	return errors.Errorf("the schema names an unknown form %q", form)
}

func checkAddress(value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Errorf("%q is not IP:port", truncate(value))
	}
	if address.Port() == 0 {
		return errors.Errorf("%q names no port", truncate(value))
	}
	return nil
}

func checkName(value string) error {
	if len(value) > maxNameBytes {
		return errors.Errorf("the name has %d characters; at most %d are allowed", len(value), maxNameBytes)
	}
	if !namePattern.MatchString(value) {
		return errors.Errorf("%q is not a name: letters, digits, dot, dash and underscore, with a letter or digit first", truncate(value))
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("%q is not a URL with http:// or https://", truncate(value))
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return errors.Errorf("the URL must not hold a password, a query or a fragment")
	}
	return nil
}

func checkSHA256(value string) error {
	if raw, err := hex.DecodeString(value); err != nil || len(raw) != 32 {
		// The message does not quote the value: it may be a key given instead of its hash.
		return errors.New("not a SHA-256 in hex (64 digits); apricothub check --hash-key prints it")
	}
	if value != strings.ToLower(value) {
		return errors.New("the hex digits must be small letters")
	}
	return nil
}

// checkCall rejects paths that two servers may interpret differently: a call that is marked as
// repeatable but reaches another handler could run twice.
func checkCall(value string) error {
	if !callPattern.MatchString(value) {
		return errors.Errorf("%q is not a call: METHOD /path", truncate(value))
	}
	_, path, _ := strings.Cut(value, " ")
	if strings.Contains(strings.TrimSuffix(path, "/*"), "*") {
		return errors.Errorf("%q: a * may only stand alone at the end, as /*", truncate(value))
	}
	for _, part := range strings.Split(path, "/") {
		if part == "." || part == ".." || strings.Contains(part, "%") {
			return errors.Errorf("%q: the path must not hold . or .. or %%", truncate(value))
		}
	}
	return nil
}

func checkSecret(value string) error {
	if len(value) < minSecretBytes {
		return errors.Errorf("the secret has %d characters; it needs at least %d", len(value), minSecretBytes)
	}
	for _, r := range value {
		if r <= ' ' || r > '~' {
			return errors.New("the secret may only hold printable ASCII without spaces")
		}
	}
	return nil
}
