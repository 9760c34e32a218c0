// Package logs reads the logs of VMs. It explains what happened to one request across
// all VMs, and summarizes the events of all VMs second by second.
package logs

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

// maxLine is the length limit of a log line in bytes. A longer line fails the read.
const maxLine = 1 << 20

// Line is one event in a log.
type Line struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"msg"`
	VM      string    `json:"vm"`
	Subject string    `json:"subject"`
	Reason  string    `json:"reason"`
	// Attrs are the other attributes of the event as "name=value", sorted.
	Attrs []string `json:"-"`
}

// attr returns the value of an attribute, or "" if the event doesn't have it.
func (l *Line) attr(name string) string {
	for _, attr := range l.Attrs {
		if value, found := strings.CutPrefix(attr, name+"="); found {
			return value
		}
	}
	return ""
}

// commonKeys are the JSON keys that are left out of Line.Attrs.
var commonKeys = map[string]bool{"time": true, "level": true, "msg": true, "vm": true, "subject": true, "reason": true}

// outcomeTexts describes the events that end a request.
var outcomeTexts = map[string]string{
	"request_refused":     "refused: it has not run",
	"request_quarantined": "refused: it has not run",
	overQuotaEvent:        "refused: it has not run",
	"request_rejected":    "rejected",
	"request_failed":      "failed: it may have run",
	"request_timed_out":   "timed out: it may have run",
	"request_partial":     "answered without some shards",
	"request_late":        "answered after the goal of its route",
	"request_cancelled":   "given up by the caller",
}

// eraEvent is the event of a store that came back from an older copy. It may explain what
// happened to requests on that VM for eraInfluence after it.
const (
	eraEvent     = "store_era"
	eraInfluence = 5 * time.Second
)

// read calls handle for each event in r whose line contains one of substrings. Text before
// the first brace of a line is skipped, because log collectors put a prefix there. Lines
// without an event are skipped too.
func read(r io.Reader, substrings []string, handle func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		contains := func(substring string) bool { return bytes.Contains(text, []byte(substring)) }
		if start < 0 || !slices.ContainsFunc(substrings, contains) {
			continue
		}
		if line, ok := parse(text[start:]); ok {
			handle(line)
		}
	}
	return errors.Wrap(scanner.Err(), "logs: read")
}

func parse(text []byte) (Line, bool) {
	var line Line
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text))
	// UseNumber keeps numbers as they are written in the log.
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

// ReadFile returns the events of the request with the given id in a log file, and the
// changes of the store's era just before them. A name that ends in .gz means gzip.
func ReadFile(path, id string) ([]Line, error) {
	var lines, eras []Line
	err := readFile(path, []string{id, eraEvent}, func(line Line) {
		switch {
		case line.Subject == id:
			lines = append(lines, line)
		case line.Event == eraEvent:
			eras = append(eras, line)
		default:
		}
	})
	for _, era := range eras {
		if slices.ContainsFunc(lines, func(l Line) bool { return mayConcern(&era, &l) }) {
			lines = append(lines, era)
		}
	}
	return lines, err
}

// mayConcern reports whether a change of the store's era may have influenced an event.
func mayConcern(era, line *Line) bool {
	after := line.Time.Sub(era.Time)
	return line.Event != eraEvent && line.VM == era.VM && after >= 0 && after <= eraInfluence
}

// readFile is read for a file.
func readFile(path string, substrings []string, handle func(Line)) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "logs: open")
	}
	defer func() { _ = file.Close() }()
	if !strings.HasSuffix(path, ".gz") {
		return read(file, substrings, handle)
	}
	plain, err := gzip.NewReader(file)
	if err != nil {
		return errors.Wrapf(err, "logs: %s", path)
	}
	return read(plain, substrings, handle)
}

// Explain writes the events of a request in the order of time, followed by its outcome.
// It sorts lines in place. It fails only if w does.
func Explain(w io.Writer, id string, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", id)
	outcome := "no line tells how it ended: it was answered in time, or its last line was left out (look for dropped=)"
	for _, line := range lines {
		fmt.Fprintf(&text, "%9.3f ms  %-20s %-18s %s  %s\n",
			line.Time.Sub(lines[0].Time).Seconds()*1000, line.VM, line.Event, line.Reason, strings.Join(line.Attrs, " "))
		if description, ok := outcomeTexts[line.Event]; ok {
			outcome = fmt.Sprintf("%s, because %s (%s)", description, line.Reason, line.VM)
		}
	}
	fmt.Fprintf(&text, "outcome: %s\n", outcome)
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "logs: write")
}
