package trail

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/samphirestair/samphirestair/internal/ops/table"
)

// column is one count of a timeline.
type column struct {
	title  string
	events []string
}

// columns count the decisions about single requests by second.
var columns = []column{
	{"refused", []string{"request_refused", "request_rejected"}},
	{"failed", []string{"request_failed", "request_timed_out"}},
	{"late", []string{"request_late"}},
	{"partial", []string{"request_partial"}},
	{"left", []string{"request_cancelled"}},
	{"errors", []string{"attempt_failed"}},
	{"repeats", []string{"request_hedge", "request_retry"}},
	{"denied", []string{"repeat_denied"}},
}

// columnOf holds the column of each event that is counted.
var columnOf = func() map[string]int {
	of := map[string]int{}
	for i, c := range columns {
		for _, event := range c.events {
			of[event] = i
		}
	}
	return of
}()

// Timeline collects the lines of all VMs by second. The zero value is empty. It is
// not safe for concurrent use.
type Timeline struct {
	seconds map[int64]*second
}

// second holds what VMs decided within one second.
type second struct {
	counts  []int
	changes map[change]*changed
}

// change is a decision that changed what a VM believes, or its process.
type change struct {
	vm, event, reason string
}

// changed tells how often a change came within a second, and the first one.
type changed struct {
	first Line
	count int
}

// AddFile adds the lines of a file, which may be compressed by gzip.
func (t *Timeline) AddFile(path string) error {
	return readFile(path, "", t.add)
}

func (t *Timeline) add(line Line) {
	if t.seconds == nil {
		t.seconds = map[int64]*second{}
	}
	at := line.Time.Unix()
	s := t.seconds[at]
	if s == nil {
		s = &second{counts: make([]int, len(columns)), changes: map[change]*changed{}}
		t.seconds[at] = s
	}
	if i, counted := columnOf[line.Event]; counted {
		s.counts[i] += 1 + line.dropped()
		return
	}
	key := change{line.VM, line.Event, line.Reason}
	if s.changes[key] == nil {
		s.changes[key] = &changed{first: line}
	}
	s.changes[key].count++
}

// dropped is the number of lines that were left out before this one.
func (l *Line) dropped() int {
	for _, attr := range l.Attrs {
		if text, found := strings.CutPrefix(attr, "dropped="); found {
			n, err := strconv.Atoi(text)
			if err != nil {
				return 0
			}
			return n
		}
	}
	return 0
}

// Write writes a table with one row for each second in which something was decided,
// and below it what changed on which VM. It fails if w does.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.seconds) == 0 {
		_, err := fmt.Fprintln(w, "no decision in these logs")
		return errors.Wrap(err, "trail: write")
	}
	header := []string{"time"}
	for _, c := range columns {
		header = append(header, c.title)
	}
	counts := table.New(header...)
	changes := table.New("time", "vm", "event", "times", "reason", "first")
	for _, at := range slices.Sorted(maps.Keys(t.seconds)) {
		s, clock := t.seconds[at], time.Unix(at, 0).UTC().Format(time.TimeOnly)
		row := []string{clock}
		for _, n := range s.counts {
			row = append(row, strconv.Itoa(n))
		}
		counts.Add(row...)
		for _, c := range s.sorted() {
			changes.Add(clock, c.first.VM, c.first.Event, strconv.Itoa(c.count), c.first.Reason,
				strings.Join(append([]string{c.first.Subject}, c.first.Attrs...), " "))
		}
	}
	if err := counts.Write(w); err != nil {
		return errors.Wrap(err, "trail: write")
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "trail: write")
	}
	return errors.Wrap(changes.Write(w), "trail: write")
}

// sorted returns the changes of a second by the time of the first line of each.
func (s *second) sorted() []*changed {
	return slices.SortedFunc(maps.Values(s.changes), func(a, b *changed) int {
		return cmp.Or(a.first.Time.Compare(b.first.Time), cmp.Compare(a.first.VM, b.first.VM), cmp.Compare(a.first.Event, b.first.Event))
	})
}
