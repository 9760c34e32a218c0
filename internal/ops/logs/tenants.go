package logs

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/ops/table"
)

const (
	// overQuotaEvent is the event of a request that its tenant's quota refused.
	overQuotaEvent = "request_over_quota"
	// maxTenants bounds the rows of tenants.
	maxTenants = 20
)

// tenantColumns are the counts of a tenant.
var tenantColumns = []column{
	{"over quota", []string{overQuotaEvent}},
	{"refused", []string{"request_refused", "request_quarantined"}},
	failedColumn,
	lateColumn,
	partialColumn,
	leftColumn,
}

var tenantColumnOfEvent = indexByEvent(tenantColumns)

// tenantTable counts how requests of each tenant ended. The zero value is empty.
type tenantTable struct {
	tenants map[string]*tenantCounts
	// dropped are lines of the counted kinds that the logger left out. Their tenants are unknown.
	dropped int
}

// tenantCounts holds the counts of one tenant, one per column.
type tenantCounts struct {
	tenant  string
	columns []int
	total   int
	vms     coll.Set[string]
	reasons map[string]int
}

// add counts an event if it is the end of a request of a tenant.
func (t *tenantTable) add(line *Line) {
	i, counted := tenantColumnOfEvent[line.Event]
	if !counted {
		return
	}
	t.dropped += line.droppedBefore()
	tenant := line.attr("tenant")
	if tenant == "" {
		return
	}
	if t.tenants == nil {
		t.tenants = map[string]*tenantCounts{}
	}
	counts := t.tenants[tenant]
	if counts == nil {
		counts = &tenantCounts{tenant: tenant, columns: make([]int, len(tenantColumns)), vms: coll.NewSet[string](), reasons: map[string]int{}}
		t.tenants[tenant] = counts
	}
	counts.columns[i]++
	counts.total++
	counts.vms.Add(line.VM)
	counts.reasons[line.Reason]++
}

// write writes a row for each of the tenants with the most lines, or nothing if there is no tenant.
func (t *tenantTable) write(w io.Writer) error {
	if len(t.tenants) == 0 {
		return nil
	}
	rows := table.New(header("tenant", tenantColumns, "vms", "most frequent reason")...)
	sorted := slices.SortedFunc(maps.Values(t.tenants), func(a, b *tenantCounts) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.tenant, b.tenant))
	})
	for _, counts := range sorted[:min(len(sorted), maxTenants)] {
		row := []string{counts.tenant}
		for _, n := range counts.columns {
			row = append(row, strconv.Itoa(n))
		}
		rows.Add(append(row, strconv.Itoa(len(counts.vms)), counts.mostFrequentReason())...)
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	if err := rows.Write(w); err != nil {
		return err
	}
	if more := len(sorted) - maxTenants; more > 0 {
		if _, err := fmt.Fprintf(w, "%d more tenants\n", more); err != nil {
			return err
		}
	}
	if t.dropped > 0 {
		if _, err := fmt.Fprintf(w, "%d lines were left out of the logs; their tenants are unknown\n", t.dropped); err != nil {
			return err
		}
	}
	return nil
}

func (c *tenantCounts) mostFrequentReason() string {
	return slices.MaxFunc(slices.Sorted(maps.Keys(c.reasons)), func(a, b string) int {
		return cmp.Compare(c.reasons[a], c.reasons[b])
	})
}
