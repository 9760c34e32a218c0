// Package strict reads INI files and reports all their errors at once. Each
// fault names its line, section and key, and the values that are allowed.
//
// A caller reads the sections and keys that it knows from a File. All others are
// faults. A getter records a fault for an invalid value and returns the zero
// value; File.Err returns all faults at the end.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/typos"
)

// maxSize is the maximum size of a file in bytes.
const maxSize = 512 << 10

// File is a parsed INI file. It is not safe for concurrent use.
type File struct {
	sections []*Section
	byName   map[string]*Section
	// knownSections holds the names passed to Section; knownKinds holds the
	// kinds passed to SectionsOfKind.
	knownSections coll.Set[string]
	knownKinds    coll.Set[string]
	faults        Faults
}

// Parse parses the text of a file. File.Err returns the faults that it finds.
func Parse(data []byte) *File {
	f := &File{
		byName:        map[string]*Section{},
		knownSections: coll.NewSet[string](),
		knownKinds:    coll.NewSet[string](),
	}
	if len(data) > maxSize {
		f.faults = Faults{{Problem: fmt.Sprintf("the file has %d bytes", len(data)), Allowed: fmt.Sprintf("at most %d", maxSize)}}
		return f
	}
	l := scan(data)
	f.faults = l.faults
	values, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, l.validText)
	if err != nil {
		f.faults = append(f.faults, Fault{Problem: err.Error()})
		return f
	}
	for _, header := range l.sections {
		f.addSection(header, values)
	}
	return f
}

func (f *File) addSection(header sectionHeader, values *ini.File) {
	if header.name == "" {
		return
	}
	if other, taken := f.byName[header.name]; taken {
		f.addFault(Fault{Line: header.line, Section: header.name, Problem: fmt.Sprintf("the section stands already in line %d", other.line)})
		return
	}
	s := newSection(f, header, values.Section(header.name))
	f.sections = append(f.sections, s)
	f.byName[header.name] = s
}

// Has reports whether the file has the named section. It does not make the
// section known.
func (f *File) Has(name string) bool {
	_, ok := f.byName[name]
	return ok
}

// Section returns the named section and makes it known. If the file does not
// have it, the section returned is empty. If it is required, that is a fault,
// and missing keys of the empty section are not reported.
func (f *File) Section(name string, required bool) *Section {
	f.knownSections.Add(name)
	if s, ok := f.byName[name]; ok {
		return s
	}
	if required {
		f.addFault(Fault{Problem: fmt.Sprintf("section [%s] is missing", name)})
	}
	return &Section{file: f, name: name, missing: required}
}

// SectionsOfKind returns the sections with headers of the form "kind NAME", in
// the order of the file, and makes them known.
func (f *File) SectionsOfKind(kind string) []*Section {
	f.knownKinds.Add(kind)
	var found []*Section
	for _, s := range f.sections {
		if strings.HasPrefix(s.name, kind+" ") {
			found = append(found, s)
		}
	}
	return found
}

// Fault records an error of the file as a whole.
func (f *File) Fault(problem, allowed string) {
	f.addFault(Fault{Problem: problem, Allowed: allowed})
}

// Err returns the Faults found so far, or nil. They include the sections and
// keys that were not read.
func (f *File) Err() error {
	faults := slices.Clone(f.faults)
	for _, s := range f.sections {
		faults = append(faults, f.unknownFaults(s)...)
	}
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return faults
}

// unknownFaults returns the faults of a section that was not read, or of its
// keys that were not read.
func (f *File) unknownFaults(s *Section) Faults {
	kind, _, hasKind := strings.Cut(s.name, " ")
	if f.knownSections.Has(s.name) || hasKind && f.knownKinds.Has(kind) {
		return s.unknownKeys()
	}
	return Faults{{
		Line:    s.line,
		Section: s.name,
		Problem: "unknown section" + typos.Suggest(kind, f.sectionNames()),
		Allowed: strings.Join(f.sectionForms(), ", "),
	}}
}

// sectionNames returns the first words that a header may have.
func (f *File) sectionNames() []string {
	return append(coll.Sorted(f.knownSections), coll.Sorted(f.knownKinds)...)
}

// sectionForms returns the forms of the known headers, for Fault.Allowed.
func (f *File) sectionForms() []string {
	var forms []string
	for _, name := range coll.Sorted(f.knownSections) {
		forms = append(forms, "["+name+"]")
	}
	for _, kind := range coll.Sorted(f.knownKinds) {
		forms = append(forms, "["+kind+" NAME]")
	}
	return forms
}

func (f *File) addFault(fault Fault) {
	f.faults = append(f.faults, fault)
}
