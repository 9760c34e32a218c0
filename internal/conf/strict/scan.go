package strict

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

var (
	sectionLine = regexp.MustCompile(`^\[([a-z0-9_-]+(?: [a-z0-9_-]+)?)\]\s*(?:[#;][^\]]*)?$`)
	keyLine     = regexp.MustCompile(`^([a-z][a-z0-9_]*)\s*=\s*(.*)$`)
)

// location is the line of a section header or key.
type location struct {
	name string
	line int
}

// sectionHeader is a section header with the locations of its keys, in the order
// of the file. Its name is empty if the header is invalid.
type sectionHeader struct {
	location
	keys []location
}

// scanResult holds the locations of all sections and keys of a file. ini.v1
// reports no line numbers and stops at the first invalid line, so the lines are
// checked before it parses them.
type scanResult struct {
	sections []sectionHeader
	faults   Faults
	// validText is the text in which invalid lines are replaced by empty ones.
	validText []byte
}

// scan checks each line of a file. It skips a byte order mark.
func scan(data []byte) *scanResult {
	l := &scanResult{}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	for i, raw := range strings.Split(string(data), "\n") {
		if l.scanLine(i+1, strings.TrimSpace(raw)) {
			l.validText = append(l.validText, raw...)
		}
		l.validText = append(l.validText, '\n')
	}
	return l
}

// scanLine reports whether the line is valid.
func (l *scanResult) scanLine(number int, line string) bool {
	switch {
	case !utf8.ValidString(line) || strings.ContainsFunc(line, isForbidden):
		l.fault(number, "", "the line holds control characters or is not UTF-8", "")
		return false
	case line == "" || line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return l.scanSection(number, line)
	default:
		return l.scanKey(number, line)
	}
}

func (l *scanResult) scanSection(number int, line string) bool {
	match := sectionLine.FindStringSubmatch(line)
	if match == nil {
		l.fault(number, "", fmt.Sprintf("%q is no section header", line), "[name] or [kind name] of a-z, 0-9, - and _")
		// Later keys belong to no section, rather than to the previous one.
		l.sections = append(l.sections, sectionHeader{})
		return false
	}
	l.sections = append(l.sections, sectionHeader{location: location{name: match[1], line: number}})
	return true
}

func (l *scanResult) scanKey(number int, line string) bool {
	match := keyLine.FindStringSubmatch(line)
	if match == nil {
		l.fault(number, l.currentSection(), fmt.Sprintf("%q is no setting", line), "key = value")
		return false
	}
	if strings.HasPrefix(match[2], `"""`) || strings.HasPrefix(match[2], "`") {
		l.fault(number, l.currentSection(), "values of several lines are not supported", "one line")
		return false
	}
	if len(l.sections) == 0 {
		l.fault(number, "", fmt.Sprintf("%q stands before the first section", match[1]), "")
		return false
	}
	last := &l.sections[len(l.sections)-1]
	if last.name == "" {
		return false
	}
	last.keys = append(last.keys, location{name: match[1], line: number})
	return true
}

// currentSection returns the name of the last section, or "" if there is none or
// its header is invalid.
func (l *scanResult) currentSection() string {
	if len(l.sections) == 0 {
		return ""
	}
	return l.sections[len(l.sections)-1].name
}

func (l *scanResult) fault(line int, section, problem, allowed string) {
	l.faults = append(l.faults, Fault{Line: line, Section: section, Problem: problem, Allowed: allowed})
}

// isForbidden reports whether r is a control character other than a tab.
func isForbidden(r rune) bool {
	return r != '\t' && unicode.IsControl(r)
}
