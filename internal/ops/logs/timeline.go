package logs

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

// column is a column of the request table: the number of events of the given kinds.
type column struct {
	title  string
	events []string
}

// Columns of all tables of requests.
var (
	failedColumn  = column{"failed", []string{"request_failed", "request_timed_out"}}
	lateColumn    = column{"late", []string{"request_late"}}
	partialColumn = column{"partial", []string{"request_partial"}}
	leftColumn    = column{"left", []string{"request_cancelled"}}
)

// columns are the per-second counts of events about single requests.
var columns = []column{
	{"refused", []string{"request_refused", "request_rejected", "request_quarantined", overQuotaEvent}},
	failedColumn,
	lateColumn,
	partialColumn,
	leftColumn,
	{"errors", []string{"attempt_failed"}},
	{"repeats", []string{"request_hedge", "request_retry"}},
	{"denied", []string{"repeat_denied"}},
}

// columnOfEvent maps a kind of event to the index of its column. Kinds that are absent
// are listed one by one instead of counted.
var columnOfEvent = indexByEvent(columns)

// indexByEvent maps the kinds of events to the indices of their columns.
func indexByEvent(columns []column) map[string]int {
	of := map[string]int{}
	for i, c := range columns {
		for _, event := range c.events {
			of[event] = i
		}
	}
	return of
}

// header returns the titles of a table of counts with other columns before and after them.
func header(first string, columns []column, last ...string) []string {
	titles := []string{first}
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	return append(titles, last...)
}

// Timeline groups the log events of all VMs by second. The zero value is an empty
// timeline. It is not safe for concurrent use.
type Timeline struct {
	seconds map[int64]*second
	tenants tenantTable
}

// second holds the events of all VMs within one second.
type second struct {
	// requestCounts has one element per column.
	requestCounts []int
	// events are the other events: changes of a process, or of its view of the fleet.
	events map[eventKey]*eventGroup
}

// eventKey identifies events that are shown in one row.
type eventKey struct {
	vm, event, reason string
}

// eventGroup holds the events with one key within a second: the first one and their
// number.
type eventGroup struct {
	first Line
	count int
}

// AddFile adds the events in a log file. A name that ends in .gz means gzip.
func (t *Timeline) AddFile(path string) error {
	return readFile(path, []string{""}, t.add)
}

func (t *Timeline) add(line Line) {
	t.tenants.add(&line)
	if t.seconds == nil {
		t.seconds = map[int64]*second{}
	}
	unixSecond := line.Time.Unix()
	s := t.seconds[unixSecond]
	if s == nil {
		s = &second{requestCounts: make([]int, len(columns)), events: map[eventKey]*eventGroup{}}
		t.seconds[unixSecond] = s
	}
	if i, counted := columnOfEvent[line.Event]; counted {
		s.requestCounts[i] += 1 + line.droppedBefore()
		return
	}
	key := eventKey{line.VM, line.Event, line.Reason}
	if s.events[key] == nil {
		s.events[key] = &eventGroup{first: line}
	}
	s.events[key].count++
}

// droppedBefore returns how many lines of this kind the logger dropped before this one,
// which it writes as the attribute "dropped".
func (l *Line) droppedBefore() int {
	n, err := strconv.Atoi(l.attr("dropped"))
	if err != nil {
		return 0
	}
	return n
}

// Write writes a table of request counts with one row per second that has events, below it a table
// of the requests of tenants if the configuration had tenants, and one of the other events by VM.
// It fails only if w does.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.seconds) == 0 {
		_, err := fmt.Fprintln(w, "no decision in these logs")
		return errors.Wrap(err, "logs: write")
	}
	requestCounts := table.New(header("time", columns)...)
	events := table.New("time", "vm", "event", "times", "reason", "first")
	for _, unixSecond := range slices.Sorted(maps.Keys(t.seconds)) {
		s, clock := t.seconds[unixSecond], time.Unix(unixSecond, 0).UTC().Format(time.TimeOnly)
		row := []string{clock}
		for _, n := range s.requestCounts {
			row = append(row, strconv.Itoa(n))
		}
		requestCounts.Add(row...)
		for _, c := range s.sortedEvents() {
			events.Add(clock, c.first.VM, c.first.Event, strconv.Itoa(c.count), c.first.Reason,
				strings.Join(append([]string{c.first.Subject}, c.first.Attrs...), " "))
		}
	}
	if err := requestCounts.Write(w); err != nil {
		return errors.Wrap(err, "logs: write")
	}
	if err := t.tenants.write(w); err != nil {
		return errors.Wrap(err, "logs: write")
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "logs: write")
	}
	return errors.Wrap(events.Write(w), "logs: write")
}

// sortedEvents returns the groups of a second ordered by their first event.
func (s *second) sortedEvents() []*eventGroup {
	return slices.SortedFunc(maps.Values(s.events), func(a, b *eventGroup) int {
		return cmp.Or(a.first.Time.Compare(b.first.Time), cmp.Compare(a.first.VM, b.first.VM), cmp.Compare(a.first.Event, b.first.Event))
	})
}
