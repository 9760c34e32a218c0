// Package faulty provides tests with responses that HTTP/1.1 (RFC 9110, RFC 9112) doesn't allow
// although they look much like one, with unusual ones that it allows, and a server that sends them.
package faulty

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samphirestair/samphirestair/internal/base/budget"
)

const (
	// interims is a number of interim responses that no server sends before a response.
	interims = 1000
	ok       = "HTTP/1.1 200 OK\r\n"
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
)

// statusLines holds invalid status lines and starts of heads.
var statusLines = map[string]string{
	"no status":                   "HTTP/1.1\r\n",
	"no status line":              "\r\n",
	"another protocol":            "HTTP/2.0 200 OK\r\n",
	"old protocol":                "HTTP/0.9 200 OK\r\n",
	"long minor version":          "HTTP/1.10 200 OK\r\n",
	"protocol without a version":  "HTTP 200 OK\r\n",
	"protocol in lower case":      "http/1.1 200 OK\r\n",
	"protocol of media servers":   "ICY 200 OK\r\n",
	"blank before the protocol":   " HTTP/1.1 200 OK\r\n",
	"tab before the status":       "HTTP/1.1\t200 OK\r\n",
	"tab after the status":        "HTTP/1.1 200\tOK\r\n",
	"reason without a blank":      "HTTP/1.1 200OK\r\n",
	"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\n",
	"NUL in the reason":           "HTTP/1.1 200 O\x00K\r\n",
	"DEL in the reason":           "HTTP/1.1 200 O\x7fK\r\n",
	"CR in the reason":            "HTTP/1.1 200 O\rK\r\n",
	"status line ends without CR": "HTTP/1.1 200 OK\n",
	"interim only":                strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", interims) + ok,
	"upgrade":                     "HTTP/1.1 101 Switching Protocols\r\n",
	"000 after 100":               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
	"blank in an interim name":    "HTTP/1.1 103 Early Hints\r\nX Trace: 1\r\n\r\n" + ok,
	"control byte after interim":  "HTTP/1.1 103 Early Hints\r\nX\x01Trace: 1\r\n\r\n" + ok,
}

// fields holds invalid lines of heads and trailer sections.
var fields = map[string]string{
	"blank in a name":           "X Trace: 1\r\n",
	"tab in a name":             "X\tTrace: 1\r\n",
	"blank before a name":       " X-Trace: 1\r\n",
	"tab before a name":         "\tX-Trace: 1\r\n",
	"blank before the colon":    "X-Trace : 1\r\n",
	"tab before the colon":      "X-Trace\t: 1\r\n",
	"blank as a name":           " : 1\r\n",
	"no name":                   ": 1\r\n",
	"no colon":                  "X-Trace\r\n",
	"blanks only":               "  \r\n",
	"control byte in a name":    "X\x01Trace: 1\r\n",
	"NUL in a name":             "X\x00Trace: 1\r\n",
	"DEL in a name":             "X\x7fTrace: 1\r\n",
	"CR in a name":              "X\rTrace: 1\r\n",
	"quote in a name":           "X\"Trace: 1\r\n",
	"slash in a name":           "X/Trace: 1\r\n",
	"byte over 127 in a name":   "X\x80Trace: 1\r\n",
	"control byte in a value":   "X-Trace: a\x01b\r\n",
	"NUL in a value":            "X-Trace: a\x00b\r\n",
	"DEL in a value":            "X-Trace: a\x7fb\r\n",
	"CR in a value":             "X-Trace: a\rb\r\n",
	"CR after a value":          "X-Trace: a\r\r\n",
	"line ends without CR":      "X-Trace: 1\n",
	"folded":                    "X-Trace: 1\r\n 2\r\n",
	"folded after an empty one": "X-Trace:\r\n\t2\r\n",
}

// framings holds invalid ends of heads together with a body.
var framings = map[string]string{
	"length with a blank in its name":    "Content Length: 4\r\n\r\nbody",
	"length with a blank after its name": "Content-Length : 4\r\n\r\nbody",
	"coding with a blank in its name":    "Transfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding with a blank after its name": "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"head ends without CR":               "Content-Length: 4\r\n\nbody",
	"two lengths":                        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
	"list of lengths":                    "Content-Length: 4, 5\r\n\r\nbody!",
	"length and coding":                  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding and length":                  "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"unknown coding":                     "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"no coding":                          "Transfer-Encoding:\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding after chunked":               "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunked twice":                      "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunked in two lines":               "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"no size of a chunk":                 chunked + "\r\nbody\r\n0\r\n\r\n",
	"chunk without CRLF":                 chunked + "4\r\nbody0\r\n\r\n",
	"chunk longer than its size":         chunked + "3\r\nbody\r\n0\r\n\r\n",
	"chunk that ends without CR":         chunked + "4\r\nbody\n0\r\n\r\n",
	"size that ends without CR":          chunked + "4\nbody\r\n0\r\n\r\n",
	"last chunk that ends without CR":    chunked + "4\r\nbody\r\n0\n\r\n",
	"trailer section ends without CR":    chunked + "4\r\nbody\r\n0\r\n\n",
	"control byte in a chunk extension":  chunked + "4;a=\x01\r\nbody\r\n0\r\n\r\n",
	"NUL in a chunk extension":           chunked + "4;\x00\r\nbody\r\n0\r\n\r\n",
	"CR in a chunk extension":            chunked + "4;a\rb\r\nbody\r\n0\r\n\r\n",
}

// Responses returns invalid responses by name. Each has the given header lines, which end in CRLF,
// and, where its own parts don't take the place of it, the body.
func Responses(headers, body string) map[string]string {
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	rest := headers + length + "\r\n" + body
	responses := map[string]string{
		"204 with a body":                 "HTTP/1.1 204 No Content\r\n" + headers + "Content-Length: 1\r\n\r\nx",
		"204 with chunks":                 "HTTP/1.1 204 No Content\r\n" + headers + chunked + "1\r\nx\r\n0\r\n\r\n",
		"204 with a blank in a name":      "HTTP/1.1 204 No Content\r\nX Trace: 1\r\n" + headers + "\r\n",
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + headers + chunked + "4\r\nbody\r\n0\r\n\r\n",
		"chunks and a length in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
	}
	for name, line := range statusLines {
		responses[name] = line + rest
	}
	for _, status := range []string{"000", "00", "0", "99", "099", "600", "999", "1000", "2000", "+20", "-20", "20x", "abc", " 200", "20 0"} {
		responses["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + rest
	}
	for name, line := range fields {
		responses["first "+name] = ok + line + rest
		responses["last "+name] = ok + headers + length + line + "\r\n" + body
		responses["trailer "+name] = ok + headers + chunked + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n" + line + "\r\n"
	}
	for name, end := range framings {
		responses[name] = ok + headers + end
	}
	for _, value := range []string{"", "+4", "-4", "0x4", "4 4", "4.0", "four", "4,", "99999999999999999999"} {
		responses[fmt.Sprintf("length %q", value)] = ok + headers + "Content-Length: " + value + "\r\n\r\nbody"
	}
	for _, size := range []string{"x", "+4", "-4", "0x4", " 4", "4 ", "4\t", "4 4", "4,", "fffffffffffffffff"} {
		responses[fmt.Sprintf("size %q", size)] = ok + headers + chunked + size + "\r\nbody\r\n0\r\n\r\n"
	}
	return responses
}

// Heads returns responses with each byte that no name may contain, at three positions of a name,
// and with each status of three digits outside the protocol, by name. headers and body are as in
// Responses.
func Heads(headers, body string) map[string]string {
	rest := headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	responses := map[string]string{}
	for b := range 256 {
		if b == ':' || strings.IndexByte(tokenBytes, byte(b)) >= 0 {
			continue
		}
		invalid := string([]byte{byte(b)})
		for position, name := range map[string]string{"first in": invalid + "X-Trace", "within": "X" + invalid + "Trace", "last in": "X-Trace" + invalid} {
			responses[fmt.Sprintf("byte %#02x %s a name", b, position)] = ok + name + ": 1\r\n" + rest
		}
	}
	for status := range 1000 {
		if status < 100 || status >= 600 {
			responses[fmt.Sprintf("status %03d", status)] = fmt.Sprintf("HTTP/1.1 %03d OK\r\n", status) + rest
		}
	}
	return responses
}

// tokenBytes are the bytes that a name may contain.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// LongBodies returns invalid responses by name with bodies that are longer than those that readers
// keep in pooled memory. The fault is in the head or after the body. headers are as in Responses.
func LongBodies(headers string) map[string]string {
	const size = 2 * budget.SmallSize
	long := strings.Repeat("x", size)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, long)
	responses := map[string]string{
		"long chunk without CRLF":  ok + headers + chunked + fmt.Sprintf("%x\r\n%s", size, long) + "0\r\n\r\n",
		"no size after a chunk":    ok + headers + chunked + chunk + "\r\n" + chunk + "0\r\n\r\n",
		"long chunk, no CR at end": ok + headers + chunked + chunk + "0\n\n",
	}
	for name, line := range fields {
		responses["long, first "+name] = ok + line + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + long
		responses["long, trailer "+name] = ok + headers + chunked + chunk + "0\r\n" + line + "\r\n"
	}
	return responses
}

// Sound returns valid responses by name, with the given header lines and a body that reads "body"
// unless the status allows none.
func Sound(headers string) map[string]string {
	const body = "Content-Length: 4\r\n\r\nbody"
	responses := map[string]string{
		"no blank after the status": "HTTP/1.1 200\r\n" + headers + body,
		"no reason":                 "HTTP/1.1 200 \r\n" + headers + body,
		"any bytes in the reason":   "HTTP/1.1 200 \t!~\x80\xff\r\n" + headers + body,
		"unassigned status":         "HTTP/1.1 299 X\r\n" + headers + body,
		"HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + headers + body,
		"HTTP/1.0 until the end":    "HTTP/1.0 200 OK\r\n" + headers + "\r\nbody",
		"until the end":             ok + headers + "Connection: close\r\n\r\nbody",
		"after 100":                 "HTTP/1.1 100 Continue\r\n\r\n" + ok + headers + body,
		"after 103":                 "HTTP/1.1 103 Early Hints\r\nLink: <a>; rel=preload\r\n\r\n" + ok + headers + body,
		"not modified":              "HTTP/1.1 304 Not Modified\r\n" + headers + "Content-Length: 9\r\n\r\n",
		"not modified, chunked":     "HTTP/1.1 304 Not Modified\r\n" + headers + chunked,
		"no content":                "HTTP/1.1 204 No Content\r\n" + headers + "\r\n",
		"no content, length 0":      "HTTP/1.0 204 No Content\r\n" + headers + "Content-Length: 0\r\n\r\n",
		"reset content":             "HTTP/1.1 205 Reset Content\r\n" + headers + "Content-Length: 0\r\n\r\n",
	}
	for name, line := range map[string]string{
		"empty value":               "X-Trace:\r\n",
		"no blank before a value":   "X-Trace:1\r\n",
		"blanks around a value":     "X-Trace: \t 1 \t \r\n",
		"blanks as a value":         "X-Trace: \t \r\n",
		"blanks in a value":         "X-Trace: a b\tc\r\n",
		"all bytes of a name":       "!#$%&'*+-.^_`|~09AZaz: 1\r\n",
		"all bytes of a value":      "X-Trace: !\"#$%&'()*+,-./09:;<=>?@AZ[\\]^_`az{|}~\x80\xff\r\n",
		"colons in a value":         "X-Trace: a: b:\r\n",
		"the same name again":       "X-Trace: 1\r\nx-trace: 2\r\n",
		"long value":                "X-Trace: " + strings.Repeat("x", 2000) + "\r\n",
		"many lines":                strings.Repeat("X-Trace: 1\r\n", 50),
		"name like that of length":  "Content-Lengths: 9\r\nX-Content-Length: 9\r\n",
		"name like that of coding":  "Transfer-Encodings: chunked\r\nTE: chunked\r\n",
		"announced trailer section": "Trailer: X-Sum\r\n",
	} {
		responses[name] = ok + line + headers + body
		responses[name+" at the end"] = ok + headers + "Content-Length: 4\r\n" + line + "\r\nbody"
		responses[name+" in an interim response"] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + ok + headers + body
	}
	for name, line := range map[string]string{
		"length in lower case": "content-length: 4\r\n", "length in upper case": "CONTENT-LENGTH:4\r\n", "length between blanks": "Content-Length:\t 4\t\r\n",
		"length with leading zeros": "Content-Length: 0004\r\n",
	} {
		responses[name] = ok + headers + line + "\r\nbody"
	}
	for name, chunks := range map[string]string{
		"one chunk":             "4\r\nbody\r\n0\r\n\r\n",
		"short chunks":          "1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n0\r\n\r\n",
		"sizes with zeros":      "0004\r\nbody\r\n000\r\n\r\n",
		"chunk extension":       "4;a\r\nbody\r\n0;b=c\r\n\r\n",
		"quoted extension":      "4;a=\"b;\\\"\x80\"; c=d\r\nbody\r\n0\r\n\r\n",
		"trailer section":       "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n",
		"long trailer section":  "4\r\nbody\r\n0\r\nX-Sum: " + strings.Repeat("x", 2000) + "\r\n\r\n",
		"any bytes in trailers": "4\r\nbody\r\n0\r\nX-Sum: \t!~\x80\xff\r\n\r\n",
	} {
		responses[name] = ok + headers + chunked + chunks
		responses[name+", in capitals"] = ok + "TRANSFER-ENCODING:CHUNKED\r\n" + headers + "\r\n" + chunks
	}
	return responses
}
