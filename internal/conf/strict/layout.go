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

// place is where one section or key stands.
type place struct {
	name string
	line int
}

// placedSection is a section header with its keys in the order of the file.
type placedSection struct {
	place
	keys []place
}

// layout is what the lines of a file hold. ini.v1 reports no line numbers and
// stops at the first bad line, so the lines are checked beforehand.
type layout struct {
	sections []placedSection
	faults   Faults
	// clean is the text without the lines that are faults.
	clean []byte
}

func scan(data []byte) *layout {
	l := &layout{}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	for i, raw := range strings.Split(string(data), "\n") {
		if l.scanLine(i+1, strings.TrimSpace(raw)) {
			l.clean = append(l.clean, raw...)
		}
		l.clean = append(l.clean, '\n')
	}
	return l
}

// scanLine reports whether the line is to be kept.
func (l *layout) scanLine(number int, line string) bool {
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

func (l *layout) scanSection(number int, line string) bool {
	match := sectionLine.FindStringSubmatch(line)
	if match == nil {
		l.fault(number, "", fmt.Sprintf("%q is no section header", line), "[name] or [kind name] of a-z, 0-9, - and _")
		// Later keys belong to no section, rather than to the previous one.
		l.sections = append(l.sections, placedSection{})
		return false
	}
	l.sections = append(l.sections, placedSection{place: place{name: match[1], line: number}})
	return true
}

func (l *layout) scanKey(number int, line string) bool {
	match := keyLine.FindStringSubmatch(line)
	if match == nil {
		l.fault(number, l.current(), fmt.Sprintf("%q is no setting", line), "key = value")
		return false
	}
	if strings.HasPrefix(match[2], `"""`) || strings.HasPrefix(match[2], "`") {
		l.fault(number, l.current(), "values of several lines are not supported", "one line")
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
	last.keys = append(last.keys, place{name: match[1], line: number})
	return true
}

func (l *layout) current() string {
	if len(l.sections) == 0 {
		return ""
	}
	return l.sections[len(l.sections)-1].name
}

func (l *layout) fault(line int, section, problem, allowed string) {
	l.faults = append(l.faults, Fault{Line: line, Section: section, Problem: problem, Allowed: allowed})
}

func isForbidden(r rune) bool {
	return r != '\t' && unicode.IsControl(r)
}
