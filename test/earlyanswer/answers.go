package earlyanswer

import (
	"fmt"
	"strings"
	"time"
)

const (
	// part is sent of the body of an answer that is cut, body of one that is whole. Both are streams of events.
	part = "id: 1\ndata: one\n\n"
	body = part + "id: 2\ndata: two\n\n"
)

// shortUpload is the size in bytes of a request that a server reads together with its head.
const shortUpload = 10

// uploads are sizes of requests in bytes, below and above those from which on gateways and agents write a request while
// they read its response.
var uploads = []int{shortUpload, 6_000, 20_000, 60_000, 100_000, 400_000, 900_000}

// Uploads returns the sizes of the requests that an answer is to be tried with.
func (a Answer) Uploads() []int {
	if a.Body == "" && a.End == Close && !a.AtOnce {
		// A connection that is closed after a request was read ends in order, whatever was sent.
		return uploads[1:]
	}
	return uploads
}

// head returns the head of an answer with further header lines, as backend servers on the platform send it.
func head(contentType, lines string) string {
	return "HTTP/1.1 200 OK\r\nUpstream-Signature: sig\r\nContent-Type: " + contentType + "\r\n" + lines + "\r\n"
}

const chunked = "Transfer-Encoding: chunked\r\n"

// withLength returns the header line for the length of a whole answer.
func withLength() string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Cut returns early answers of which a part is sent, by name.
func Cut(contentType string) map[string]Answer {
	open := head(contentType, "")
	return map[string]Answer{
		"a part":                         {Text: open + part},
		"a part, 2 ms before the reset":  {Text: open + part, Pause: 2 * time.Millisecond},
		"a part, 30 ms before the reset": {Text: open + part, Pause: 30 * time.Millisecond},
		"a part in the middle of a line": {Text: open + part[:10]},
		"nothing of the body":            {Text: open},
		"an error":                       {Text: strings.Replace(open, "200 OK", "500 Failed", 1) + part},
		"HTTP/1.0":                       {Text: strings.Replace(open, "HTTP/1.1", "HTTP/1.0", 1) + part},
		"after an interim response":      {Text: "HTTP/1.1 103 Early Hints\r\n\r\n" + open + part},
		"after a part of the request":    {Text: open + part, ReadBytes: 10_000},
		"before the request":             {Text: open + part, AtOnce: true},
		"closed":                         {Text: open + part, End: Close},
		"closed before the request":      {Text: open + part, AtOnce: true, End: Close},
		"a length":                       {Text: head(contentType, withLength()) + part},
		"chunks":                         {Text: head(contentType, chunked) + chunk(part)},
		"half of the head":               {Text: open[:len(open)/2]},
		"a head without its end":         {Text: open[:len(open)-2], End: Close},
	}
}

// Whole returns early answers that are whole, by name. Their servers may not read the request to its end.
func Whole(contentType string) map[string]Answer {
	answers := map[string]Answer{
		"half-closed, the request is read":      {Text: head(contentType, "") + body, End: HalfClose},
		"half-closed, the request is not read":  {Text: head(contentType, "") + body, End: HalfCloseUnread},
		"half-closed later":                     {Text: head(contentType, "") + body, Pause: 20 * time.Millisecond, End: HalfClose},
		"a length, then reset":                  {Text: head(contentType, withLength()) + body, End: Reset},
		"a length, then closed":                 {Text: head(contentType, withLength()) + body, End: Close},
		"a length, kept open":                   {Text: head(contentType, withLength()) + body, End: Keep},
		"a length, the request was partly read": {Text: head(contentType, withLength()) + body, ReadBytes: 10_000, End: Reset},
		"chunks, then reset":                    {Text: head(contentType, chunked) + chunk(body) + "0\r\n\r\n", End: Reset},
		"the request was read, then closed":     {Text: head(contentType, "") + body, ReadBytes: ReadAll, End: Close},
		"the request was read, half-closed":     {Text: head(contentType, "") + body, ReadBytes: ReadAll, End: HalfClose},
	}
	for name, a := range answers {
		a.Body = body
		answers[name] = a
	}
	return answers
}

// CutByExit returns answers of which a part is sent by servers that end after they have read the request, by name.
func CutByExit(contentType string) map[string]Answer {
	answers := map[string]Answer{
		"a part":                    {Text: head(contentType, "") + part},
		"a part, 30 ms before":      {Text: head(contentType, "") + part, Pause: 30 * time.Millisecond},
		"nothing of the body":       {Text: head(contentType, "")},
		"an error":                  {Text: strings.Replace(head(contentType, ""), "200 OK", "500 Failed", 1) + part},
		"HTTP/1.0":                  {Text: strings.Replace(head(contentType, ""), "HTTP/1.1", "HTTP/1.0", 1) + part},
		"after an interim response": {Text: "HTTP/1.1 103 Early Hints\r\n\r\n" + head(contentType, "") + part},
		"half of the head":          {Text: head(contentType, "")[:40]},
		"a head without its end":    {Text: strings.TrimSuffix(head(contentType, ""), "\r\n")},
		"a length":                  {Text: head(contentType, withLength()) + part},
		"chunks":                    {Text: head(contentType, chunked) + chunk(part)},
	}
	for name, a := range answers {
		a.ReadBytes, a.End = ReadAll, Exit
		answers[name] = a
	}
	return answers
}
