package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Row describes one setting.
type Row struct {
	Key     string
	Default string
	Allowed string
	Help    string
}

// Rows describes all settings in the order of their sections.
func Rows() []Row { return rowsOf(reflect.ValueOf(Defaults()), "") }

func rowsOf(value reflect.Value, prefix string) []Row {
	var rows []Row
	for index := range value.NumField() {
		field := value.Type().Field(index)
		key := prefix + field.Tag.Get("koanf")
		if field.Type.Kind() == reflect.Struct {
			rows = append(rows, rowsOf(value.Field(index), key+delimiter)...)
			continue
		}
		rows = append(rows, Row{Key: key, Default: formatDefault(value.Field(index)), Allowed: describeChecks(field), Help: field.Tag.Get("help")})
	}
	return rows
}

func formatDefault(value reflect.Value) string {
	text := fmt.Sprint(value.Interface())
	if value.Kind() == reflect.Slice && value.Len() == 0 {
		return ""
	}
	return text
}

// describeChecks describes the type and the validation rules of a field.
func describeChecks(field reflect.StructField) string {
	kind := field.Type.String()
	if field.Type == reflect.TypeFor[time.Duration]() {
		kind = "duration"
	}
	var parts []string
	for _, check := range strings.Split(field.Tag.Get("validate"), ",") {
		name, limit, _ := strings.Cut(check, "=")
		switch name {
		case "min":
			parts = append(parts, "at least "+limit)
		case "max":
			parts = append(parts, "at most "+limit)
		case "oneof":
			parts = append(parts, "one of "+limit)
		case "ip_port":
			parts = append(parts, "IP:port")
		case "http_url":
			parts = append(parts, "URL")
		case "required":
			parts = append(parts, "must be set")
		case "required_with":
			parts = append(parts, "with "+strings.ToLower(limit))
		}
	}
	return strings.TrimSuffix(kind+"; "+strings.Join(parts, ", "), "; ")
}

// WriteTable returns the settings as a Markdown table.
func WriteTable() string {
	var table strings.Builder
	table.WriteString("| setting | default | allowed | meaning |\n| --- | --- | --- | --- |\n")
	for _, row := range Rows() {
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s |\n", row.Key, row.Default, row.Allowed, row.Help)
	}
	return table.String()
}
