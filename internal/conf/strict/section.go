package strict

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/near"
)

// setting is one key of a section with its value.
type setting struct {
	value string
	line  int
}

// Section is one section of a File.
type Section struct {
	file *File
	name string
	line int
	// absent is set for a required section that the file lacks. Its missing
	// keys are not reported one by one.
	absent   bool
	settings map[string]setting
	order    []string
	known    coll.Set[string]
}

func newSection(f *File, placed placedSection, values *ini.Section) *Section {
	s := &Section{file: f, name: placed.name, line: placed.line, settings: map[string]setting{}}
	raw := map[string]string{}
	for _, key := range values.Keys() {
		raw[key.Name()] = key.Value()
	}
	for _, key := range placed.keys {
		s.addSetting(key, raw[key.name])
	}
	return s
}

func (s *Section) addSetting(key place, value string) {
	if other, taken := s.settings[key.name]; taken {
		s.file.add(Fault{Line: key.line, Section: s.name, Key: key.name, Problem: fmt.Sprintf("the key stands already in line %d", other.line)})
		return
	}
	s.settings[key.name] = setting{value: value, line: key.line}
	s.order = append(s.order, key.name)
}

// Name returns the header without its brackets.
func (s *Section) Name() string {
	return s.name
}

// Member returns the second word of a header that reads "kind NAME".
func (s *Section) InstanceName() string {
	_, name, _ := strings.Cut(s.name, " ")
	return name
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, ok := s.settings[key]
	return ok
}

// Fault notes something that is wrong with a key, or with the section itself
// if key is empty.
func (s *Section) Fault(key, problem, allowed string) {
	line := s.line
	if found, ok := s.settings[key]; ok {
		line = found.line
	}
	s.file.add(Fault{Line: line, Section: s.name, Key: key, Problem: problem, Allowed: allowed})
}

// lookup returns the text of a key and makes the key known.
func (s *Section) lookup(key string) (string, bool) {
	if s.known == nil {
		s.known = coll.NewSet[string]()
	}
	s.known.Add(key)
	found, ok := s.settings[key]
	return found.value, ok
}

func (s *Section) unknownKeys() Faults {
	var faults Faults
	known := coll.Sorted(s.known)
	for _, key := range s.order {
		if s.known.Has(key) {
			continue
		}
		faults = append(faults, Fault{
			Line:    s.settings[key].line,
			Section: s.name,
			Key:     key,
			Problem: "unknown key" + near.Suggest(key, known),
			Allowed: strings.Join(known, ", "),
		})
	}
	return faults
}
