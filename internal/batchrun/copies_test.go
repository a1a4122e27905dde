package batchrun

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

func copiedResults(from, count, size int) []*batchv1.Result {
	list := make([]*batchv1.Result, 0, count)
	for index := range count {
		list = append(list, &batchv1.Result{ItemId: fmt.Sprint("item-", from+index), Text: bytes.Repeat([]byte("x"), size)})
	}
	return list
}

// What was read is answered from the copy, up to the first gap.
func TestCopiesEndAtAGap(t *testing.T) {
	copies := newCopies()
	must.Eq(t, Page{}, copies.page("job", 0))
	copies.put("job", 9, 0, copiedResults(0, 3, 10))
	copies.put("job", 9, 5, copiedResults(5, 2, 10))
	must.Len(t, 3, copies.page("job", 0).Results)
	must.Len(t, 1, copies.page("job", 2).Results)
	must.Len(t, 0, copies.page("job", 3).Results)
	must.Eq(t, "item-5", copies.page("job", 5).Results[0].GetItemId())
	must.Eq(t, 9, copies.page("job", 5).Total)
	copies.put("job", 9, 2, copiedResults(2, 3, 10))
	must.Len(t, 7, copies.page("job", 0).Results)
}

// A page from copies is bounded as any other is.
func TestCopiesFillOnePage(t *testing.T) {
	copies := newCopies()
	copies.put("job", 40, 0, copiedResults(0, 40, pageLimit/10))
	count := len(copies.page("job", 0).Results)
	must.Between(t, 8, count, 10)
}

// A reader that goes on where it stopped gets twice as much each time, anybody else the first allowance.
func TestAllowanceGrowsForReadersThatGoOn(t *testing.T) {
	copies := newCopies()
	must.Eq(t, firstAllowance, copies.allowance("job", 0))
	copies.put("job", 100, 0, copiedResults(0, 10, 10))
	copies.answered("job", 0, 10)
	must.Eq(t, 2*firstAllowance, copies.allowance("job", 10))
	must.Eq(t, firstAllowance, copies.allowance("job", 7))
	from := 10
	for range 10 {
		copies.answered("job", from, from+10)
		from += 10
	}
	must.Eq(t, pageLimit, copies.allowance("job", from))
	copies.answered("job", 3, 20)
	must.Eq(t, 2*firstAllowance, copies.allowance("job", 20))
}

// The jobs that were not read for longest give way.
func TestCopiesAreBounded(t *testing.T) {
	copies := newCopies()
	const jobs = 5
	for index := range jobs {
		copies.put(fmt.Sprint("job-", index), 4, 0, copiedResults(0, 4, copiesBytes/10))
		copies.page("job-0", 0)
	}
	must.LessEq(t, copiesBytes, copies.size)
	must.NotNil(t, copies.jobs["job-0"])
	must.NotNil(t, copies.jobs[fmt.Sprint("job-", jobs-1)])
	must.Nil(t, copies.jobs["job-1"])
}

// Copies and what the owner answers beyond them fill one page together.
func TestExtendedPageIsBounded(t *testing.T) {
	known := Page{Total: 9, Results: copiedResults(0, 3, pageLimit/4)}
	must.Len(t, 4, known.extend(9, copiedResults(3, 1, 10)).Results)
	extended := known.extend(12, copiedResults(3, 4, pageLimit/4))
	must.Len(t, 3, extended.Results)
	must.Eq(t, 12, extended.Total)
	must.Len(t, 2, Page{}.extend(2, copiedResults(0, 2, 10)).Results)
}
