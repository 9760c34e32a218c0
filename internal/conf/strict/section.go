package strict

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/typos"
)

// setting is the value of a key and its line number.
type setting struct {
	value string
	line  int
}

// Section is one section of a File.
type Section struct {
	file *File
	name string
	line int
	// missing is set for a required section that the file does not have. Its
	// missing keys are not reported one by one.
	missing  bool
	settings map[string]setting
	// order holds the keys in the order of the file.
	order []string
	// knownKeys holds the keys that were read. It is nil if there are none.
	knownKeys coll.Set[string]
}

func newSection(f *File, header sectionHeader, values *ini.Section) *Section {
	s := &Section{file: f, name: header.name, line: header.line, settings: map[string]setting{}}
	raw := map[string]string{}
	for _, key := range values.Keys() {
		raw[key.Name()] = key.Value()
	}
	for _, key := range header.keys {
		s.addSetting(key, raw[key.name])
	}
	return s
}

func (s *Section) addSetting(key location, value string) {
	if other, taken := s.settings[key.name]; taken {
		s.file.addFault(Fault{Line: key.line, Section: s.name, Key: key.name, Problem: fmt.Sprintf("the key stands already in line %d", other.line)})
		return
	}
	s.settings[key.name] = setting{value: value, line: key.line}
	s.order = append(s.order, key.name)
}

// Name returns the section header without brackets.
func (s *Section) Name() string {
	return s.name
}

// InstanceName returns NAME for a header of the form "kind NAME", or "".
func (s *Section) InstanceName() string {
	_, name, _ := strings.Cut(s.name, " ")
	return name
}

// Has reports whether the section has the key. It does not make the key known.
func (s *Section) Has(key string) bool {
	_, ok := s.settings[key]
	return ok
}

// Fault records an error of a key, or of the section itself if key is empty.
func (s *Section) Fault(key, problem, allowed string) {
	line := s.line
	if found, ok := s.settings[key]; ok {
		line = found.line
	}
	s.file.addFault(Fault{Line: line, Section: s.name, Key: key, Problem: problem, Allowed: allowed})
}

// lookup returns the text of a key and whether it is present, and makes the key
// known.
func (s *Section) lookup(key string) (string, bool) {
	if s.knownKeys == nil {
		s.knownKeys = coll.NewSet[string]()
	}
	s.knownKeys.Add(key)
	found, ok := s.settings[key]
	return found.value, ok
}

// unknownKeys returns a fault for each key that was not read.
func (s *Section) unknownKeys() Faults {
	var faults Faults
	knownKeys := coll.Sorted(s.knownKeys)
	for _, key := range s.order {
		if s.knownKeys.Has(key) {
			continue
		}
		faults = append(faults, Fault{
			Line:    s.settings[key].line,
			Section: s.name,
			Key:     key,
			Problem: "unknown key" + typos.Suggest(key, knownKeys),
			Allowed: strings.Join(knownKeys, ", "),
		})
	}
	return faults
}
