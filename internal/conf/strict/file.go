// Package strict reads INI files and collects everything that is wrong with
// them at once: each fault names its line, section and key and what would be
// allowed.
//
// A reader asks a File for the sections and keys that it knows. Whatever the
// file holds besides is a fault. Getters of a faulty value note the fault and
// return the zero value; Err returns the faults in the end.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/near"
)

// maxSize bounds the size of a file in bytes.
const maxSize = 512 << 10

// File is an INI file that is being read. It is not safe for concurrent use.
type File struct {
	sections []*Section
	byName   map[string]*Section
	// known holds the names of sections asked for; families holds the prefixes
	// of sections such as "server NAME".
	known    coll.Set[string]
	families coll.Set[string]
	faults   Faults
}

// Parse reads the text of a file. Faults are kept for Err.
func Parse(data []byte) *File {
	f := &File{
		byName:   map[string]*Section{},
		known:    coll.NewSet[string](),
		families: coll.NewSet[string](),
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
	}, l.clean)
	if err != nil {
		f.faults = append(f.faults, Fault{Problem: err.Error()})
		return f
	}
	for _, placed := range l.sections {
		f.addSection(placed, values)
	}
	return f
}

func (f *File) addSection(placed placedSection, values *ini.File) {
	if placed.name == "" {
		return
	}
	if other, taken := f.byName[placed.name]; taken {
		f.add(Fault{Line: placed.line, Section: placed.name, Problem: fmt.Sprintf("the section stands already in line %d", other.line)})
		return
	}
	s := newSection(f, placed, values.Section(placed.name))
	f.sections = append(f.sections, s)
	f.byName[placed.name] = s
}

// Has reports whether the file has the named section. It does not make it known.
func (f *File) Has(name string) bool {
	_, ok := f.byName[name]
	return ok
}

// Section returns the named section. If the file lacks it and it is required,
// that is a fault. The section returned then is empty and notes no faults.
func (f *File) Section(name string, required bool) *Section {
	f.known.Add(name)
	if s, ok := f.byName[name]; ok {
		return s
	}
	if required {
		f.add(Fault{Problem: fmt.Sprintf("section [%s] is missing", name)})
	}
	return &Section{file: f, name: name, absent: required}
}

// Family returns the sections whose headers read "kind NAME", in the order of
// the file.
func (f *File) SectionsOfKind(kind string) []*Section {
	f.families.Add(kind)
	var found []*Section
	for _, s := range f.sections {
		if strings.HasPrefix(s.name, kind+" ") {
			found = append(found, s)
		}
	}
	return found
}

// Fault notes something that is wrong with the file as a whole.
func (f *File) Fault(problem, allowed string) {
	f.add(Fault{Problem: problem, Allowed: allowed})
}

// Err returns nil or the Faults found so far. Sections and keys that nobody
// asked for are among them.
func (f *File) Err() error {
	faults := slices.Clone(f.faults)
	for _, s := range f.sections {
		faults = append(faults, f.unknown(s)...)
	}
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return faults
}

func (f *File) unknown(s *Section) Faults {
	kind, _, isFamily := strings.Cut(s.name, " ")
	if f.known.Has(s.name) || isFamily && f.families.Has(kind) {
		return s.unknownKeys()
	}
	return Faults{{
		Line:    s.line,
		Section: s.name,
		Problem: "unknown section" + near.Suggest(kind, f.sectionNames()),
		Allowed: strings.Join(f.sectionForms(), ", "),
	}}
}

// sectionNames returns what a header may begin with.
func (f *File) sectionNames() []string {
	return append(coll.Sorted(f.known), coll.Sorted(f.families)...)
}

func (f *File) sectionForms() []string {
	var forms []string
	for _, name := range coll.Sorted(f.known) {
		forms = append(forms, "["+name+"]")
	}
	for _, kind := range coll.Sorted(f.families) {
		forms = append(forms, "["+kind+" NAME]")
	}
	return forms
}

func (f *File) add(fault Fault) {
	f.faults = append(f.faults, fault)
}
