// Package logging makes the loggers of all programs: one line of key=value pairs an event.
package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// New returns a logger in logfmt at a level: debug, info, warn or error.
func New(output io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	return log.NewWithOptions(output, log.Options{
		Level:           parsed,
		Formatter:       log.LogfmtFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	}), nil
}

// Structured returns the logger as a handler of the standard library's slog, at level warn, for libraries that log.
func Structured(logger *log.Logger) *slog.Logger {
	quiet := logger.With("component", "library")
	quiet.SetLevel(log.WarnLevel)
	return slog.New(quiet)
}
