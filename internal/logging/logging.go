// Package logging creates the loggers of all programs. They write logfmt: one line of key=value pairs per event.
package logging

import (
	"io"
	"log/slog"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

// New returns a logger that writes logfmt at the given level: debug, info, warn or error.
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

// Structured returns a logger of the standard library's slog, at level warn, for libraries that log through slog.
func Structured(logger *log.Logger) *slog.Logger {
	warnings := logger.With("component", "library")
	warnings.SetLevel(log.WarnLevel)
	return slog.New(warnings)
}
