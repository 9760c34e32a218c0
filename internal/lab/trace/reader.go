package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

// Read reads a history. It skips a last line without a newline, because the
// process may have been killed while writing it.
func Read(r io.Reader) ([]Event, error) {
	var history []Event
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return history, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "trace: read")
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		var event Event
		if err := json.Unmarshal(line, &event); err != nil {
			return nil, errors.Wrapf(err, "trace: line %d", len(history)+1)
		}
		history = append(history, event)
	}
}

// ReadFiles reads the histories in the named files and returns their events,
// ordered by time.
func ReadFiles(names ...string) ([]Event, error) {
	var all []Event
	for _, name := range names {
		history, err := readFile(name)
		if err != nil {
			return nil, errors.Wrapf(err, "trace: %s", name)
		}
		all = append(all, history...)
	}
	Sort(all)
	return all, nil
}

// Sort orders events by time. Events with equal times keep their order.
func Sort(history []Event) {
	slices.SortStableFunc(history, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
}

func readFile(name string) ([]Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}
