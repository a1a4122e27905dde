package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

// Problem is one invalid setting.
type Problem struct {
	Source  string // file name or "flag"
	Key     string
	Message string
}

// String returns the problem in one line.
func (problem Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", problem.Source, problem.Key, problem.Message)
}

// Problems is the error that Load and Parse return for invalid settings.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (problems Problems) Error() string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

const (
	delimiter     = "."
	flagSource    = "flag"
	defaultSource = "default"
)

// Override is a setting given by a command-line flag.
type Override struct {
	Key   string
	Value any
}

// Load returns the defaults overlaid by the file, if one is named, and then by the overrides. The error is of type Problems if settings are
// invalid.
func Load(file string, overrides []Override) (Settings, error) {
	var content []byte
	if file != "" {
		var err error
		if content, err = os.ReadFile(file); err != nil {
			return Settings{}, errors.Wrap(err, "settings")
		}
	}
	return Parse(file, content, overrides)
}

// Parse is Load for the content of a file that has already been read.
func Parse(file string, content []byte, overrides []Override) (Settings, error) {
	given := koanf.New(delimiter)
	if len(content) > 0 {
		if err := given.Load(rawbytes.Provider(content), yaml.Parser()); err != nil {
			return Settings{}, Problems{{Source: file, Key: "(whole file)", Message: err.Error()}}
		}
	}
	sources := make(map[string]string)
	for _, key := range given.Keys() {
		sources[key] = file
	}
	for _, override := range overrides {
		sources[override.Key] = flagSource
		if err := given.Load(confmap.Provider(map[string]any{override.Key: override.Value}, delimiter), nil); err != nil {
			return Settings{}, Problems{{Source: flagSource, Key: override.Key, Message: err.Error()}}
		}
	}
	settings := Defaults()
	problems := decode(given, &settings, sources)
	problems = append(problems, validate(settings, sources, problems)...)
	if len(problems) > 0 {
		slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
		return Settings{}, problems
	}
	return settings, nil
}

// decode sets each given key separately, so that every invalid value is reported.
func decode(given *koanf.Koanf, settings *Settings, sources map[string]string) Problems {
	fields := fieldsByKey(reflect.ValueOf(settings).Elem(), "")
	var problems Problems
	for _, key := range given.Keys() {
		field, known := fields[key]
		if !known {
			problems = append(problems, Problem{Source: sources[key], Key: key, Message: unknownKey(key, fields)})
			continue
		}
		if err := setField(field, given.Get(key)); err != nil {
			problems = append(problems, Problem{Source: sources[key], Key: key, Message: err.Error()})
		}
	}
	return problems
}

func unknownKey(key string, fields map[string]reflect.Value) string {
	section, _, _ := strings.Cut(key, delimiter)
	var allowed []string
	for known := range fields {
		if strings.HasPrefix(known, section+delimiter) {
			allowed = append(allowed, known)
		}
	}
	if len(allowed) == 0 {
		for known := range fields {
			head, _, _ := strings.Cut(known, delimiter)
			if !slices.Contains(allowed, head) {
				allowed = append(allowed, head)
			}
		}
	}
	slices.Sort(allowed)
	return "unknown key; allowed are " + strings.Join(allowed, ", ")
}

// fieldsByKey returns the leaf fields of a settings struct by dotted key.
func fieldsByKey(value reflect.Value, prefix string) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for index := range value.NumField() {
		key := prefix + value.Type().Field(index).Tag.Get("koanf")
		field := value.Field(index)
		if field.Kind() != reflect.Struct {
			fields[key] = field
			continue
		}
		for inner, leaf := range fieldsByKey(field, key+delimiter) {
			fields[inner] = leaf
		}
	}
	return fields
}

// setField decodes one value without conversions between numbers and strings. A duration is a string such as "1m30s".
func setField(field reflect.Value, value any) error {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		text, ok := value.(string)
		if !ok {
			return errors.Newf("want a duration such as 1m30s, got %v", value)
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			return errors.Newf("want a duration such as 1m30s, got %q", text)
		}
		field.SetInt(int64(duration))
		return nil
	}
	if err := mapstructure.Decode(value, field.Addr().Interface()); err != nil {
		return errors.Newf("want %s, got %v", field.Type(), value)
	}
	return nil
}

func validate(settings Settings, sources map[string]string, earlier Problems) Problems {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("koanf") })
	if err := check.RegisterValidation("ip_port", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	}); err != nil {
		panic(err) // the tag's name is a constant
	}
	var invalid validator.ValidationErrors
	if !errors.As(check.Struct(settings), &invalid) {
		return nil
	}
	var problems Problems
	for _, failure := range invalid {
		key := strings.TrimPrefix(failure.Namespace(), "Settings.")
		reported := slices.ContainsFunc(earlier, func(problem Problem) bool { return problem.Key == key })
		if reported {
			continue
		}
		problems = append(problems, Problem{Source: sourceOf(key, sources), Key: key, Message: describeFailure(failure)})
	}
	return problems
}

func sourceOf(key string, sources map[string]string) string {
	base, _, _ := strings.Cut(key, "[")
	if source, ok := sources[base]; ok {
		return source
	}
	return defaultSource
}

// describeFailure returns the message for a failed validation.
func describeFailure(failure validator.FieldError) string {
	limit := failure.Param()
	switch failure.Tag() {
	case "required":
		return "must be set"
	case "required_with":
		return "must be set together with " + strings.ToLower(limit)
	case "ip_port":
		return fmt.Sprintf("want IP:port such as 127.0.0.1:7000, got %q", failure.Value())
	case "http_url":
		return fmt.Sprintf("want a URL such as http://127.0.0.1:7000, got %q", failure.Value())
	case "oneof":
		return fmt.Sprintf("want one of %s, got %q", limit, failure.Value())
	case "min":
		return fmt.Sprintf("want at least %s, got %v", limit, failure.Value())
	case "max":
		return fmt.Sprintf("want at most %s, got %v", limit, failure.Value())
	default:
		return fmt.Sprintf("fails %s %s", failure.Tag(), limit)
	}
}
