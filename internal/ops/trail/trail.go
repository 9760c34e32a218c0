// Package trail reads the logs of VMs and tells what was decided about one
// request, across all VMs.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Line is one decision in a log.
type Line struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"msg"`
	VM      string    `json:"vm"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
	// Attrs are the other inputs of the decision, as "name=value" in ascending
	// order.
	Attrs []string `json:"-"`
}

// commonKeys are the keys of a line that are not inputs of the decision.
var commonKeys = map[string]bool{"time": true, "level": true, "msg": true, "vm": true, "subject": true, "reason": true}

// outcomes are the events that end a request.
var outcomes = map[string]string{
	"request_refused":   "refused: it has not run",
	"request_rejected":  "rejected",
	"request_failed":    "failed: it may have run",
	"request_timed_out": "timed out: it may have run",
	"request_partial":   "answered without some shards",
	"request_late":      "answered after the goal of its route",
	"request_cancelled": "given up by the caller",
}

// read hands the lines in r that hold a word to take. Text before the first brace of a
// line is skipped, since collectors put their own words there.
func read(r io.Reader, word string, take func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(word)) {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			take(line)
		}
	}
	return errors.Wrap(scanner.Err(), "trail: read")
}

func parse(text []byte) (Line, bool) {
	var line Line
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	// Numbers stay as they were written.
	decoder.UseNumber()
	if json.Unmarshal(text, &line) != nil || decoder.Decode(&fields) != nil || line.Event == "" {
		return Line{}, false
	}
	for key, value := range fields {
		if !commonKeys[key] {
			line.Attrs = append(line.Attrs, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.Sort(line.Attrs)
	return line, true
}

// ReadFile returns the lines about a request in a file, which may be compressed
// by gzip.
func ReadFile(path, id string) ([]Line, error) {
	var lines []Line
	err := readFile(path, id, func(line Line) {
		if line.Subject == id {
			lines = append(lines, line)
		}
	})
	return lines, err
}

// readFile hands the lines of a file that hold a word to take.
func readFile(path, word string, take func(Line)) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "trail: open")
	}
	defer func() { _ = file.Close() }()
	if !strings.HasSuffix(path, ".gz") {
		return read(file, word, take)
	}
	plain, err := gzip.NewReader(file)
	if err != nil {
		return errors.Wrapf(err, "trail: %s", path)
	}
	return read(plain, word, take)
}

// Write tells what happened to a request, in the order of time.
func Explain(w io.Writer, id string, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", id)
	verdict := "no line tells how it ended: it was answered in time, or its last line was left out (look for dropped=)"
	for _, line := range lines {
		fmt.Fprintf(&text, "%9.3f ms  %-20s %-18s %s  %s\n",
			line.Time.Sub(lines[0].Time).Seconds()*1000, line.VM, line.Event, line.Reason, strings.Join(line.Attrs, " "))
		if outcome, ok := outcomes[line.Event]; ok {
			verdict = fmt.Sprintf("%s, because %s (%s)", outcome, line.Reason, line.VM)
		}
	}
	fmt.Fprintf(&text, "outcome: %s\n", verdict)
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "trail: write")
}
