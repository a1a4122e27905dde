// Package query defines the tables that answer queries, and applies a query's conditions, order and limit to them. It does
// no I/O.
package query

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/thistlewalk/thistlewalk/internal/command"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Table is the answer to a query. Each row has one cell for each column.
type Table struct {
	Subject string     `json:"subject"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	// Notes are remarks for the operator, for example that a partition has no owner.
	Notes []string `json:"notes,omitempty"`
}

// Add appends a row.
func (table *Table) Add(cells ...string) { table.Rows = append(table.Rows, cells) }

// Narrow returns the table with the query's policy, conditions, order and limit applied.
func (table Table) Narrow(show *command.Show) (Table, error) {
	conditions := slices.Clone(show.Where)
	if show.Policy != "" {
		conditions = append(conditions, &command.Condition{Column: "policy", Operator: "=", Value: show.Policy})
	}
	for _, condition := range conditions {
		index, err := table.column(condition.Column)
		if err != nil {
			return Table{}, err
		}
		table.Rows = slices.DeleteFunc(slices.Clone(table.Rows), func(row []string) bool {
			return !matches(row[index], condition.Operator, condition.Value)
		})
	}
	if show.OrderBy != "" {
		index, err := table.column(show.OrderBy)
		if err != nil {
			return Table{}, err
		}
		slices.SortStableFunc(table.Rows, func(a, b []string) int { return sortSign(show.Descending) * compare(a[index], b[index]) })
	}
	if show.Limit != nil {
		table.Rows = table.Rows[:min(*show.Limit, len(table.Rows))]
	}
	return table, nil
}

func sortSign(descending bool) int {
	if descending {
		return -1
	}
	return 1
}

func (table Table) column(name string) (int, error) {
	index := slices.Index(table.Columns, name)
	if index < 0 {
		return 0, result.New(result.InvalidField, "%s have no column %q; there are %s", table.Subject, name, strings.Join(table.Columns, ", "))
	}
	return index, nil
}

// compare compares two cells as numbers if both are numbers, otherwise as text.
func compare(a, b string) int {
	left, leftErr := strconv.ParseFloat(a, 64)
	right, rightErr := strconv.ParseFloat(b, 64)
	if leftErr == nil && rightErr == nil {
		return cmp.Compare(left, right)
	}
	return strings.Compare(a, b)
}

func matches(cell, operator, value string) bool {
	order := compare(cell, value)
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}
