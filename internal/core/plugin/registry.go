// Package plugin is the registry of plug-ins, which are interchangeable
// implementations such as policies. A plug-in registers its constructor under a
// kind and a name in an init function; the settings choose one name for each kind.
package plugin

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrUnknownPlugin is returned when no plug-in has the requested name.
var ErrUnknownPlugin = errors.New("plugin: unknown plug-in")

// Registry holds the plug-ins of one kind. T is the type of their constructors. It
// is safe for concurrent use.
type Registry[T any] struct {
	kind    string
	mu      sync.Mutex
	entries map[string]T
}

// NewRegistry returns an empty registry for plug-ins of the given kind.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, entries: map[string]T{}}
}

// Register adds a plug-in. It panics if the name is taken, because two
// plug-ins of one name are a programming error.
func (r *Registry[T]) Register(name string, constructor T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.entries[name]; taken {
		panic(fmt.Sprintf("plugin: %s %q registered twice", r.kind, name))
	}
	r.entries[name] = constructor
}

// Lookup returns the plug-in with the given name, or an error that wraps
// ErrUnknownPlugin and lists the known names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[name]
	if !ok {
		var zero T
		return zero, errors.Wrapf(ErrUnknownPlugin, "%s %q, known: %v", r.kind, name, r.namesLocked())
	}
	return entry, nil
}

// Names returns the names of all plug-ins in ascending order.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.namesLocked()
}

func (r *Registry[T]) namesLocked() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
