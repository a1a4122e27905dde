package forwarding_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/forwarding"
)

// No large body is accepted while the memory for bodies is exhausted.
func TestBodiesAreBounded(t *testing.T) {
	bodyReader := forwarding.NewBodyReader()
	const size = 32 << 20
	for range 3 {
		must.True(t, bodyReader.Reserve(size))
	}
	must.False(t, bodyReader.Reserve(forwarding.SmallBody))
	bodyReader.Release(size)
	must.True(t, bodyReader.Reserve(size))
}

// Read returns the whole body or the matching error, and each reservation is released.
func TestBodiesRead(t *testing.T) {
	bodyReader := forwarding.NewBodyReader()
	large := strings.Repeat("x", 2*forwarding.SmallBody)
	broken := io.MultiReader(strings.NewReader(large), iotest.ErrReader(errors.New("cut off")))
	for name, c := range map[string]struct {
		source           io.Reader
		announced, limit int64
		length           int
		failure          error
	}{
		"empty":                {strings.NewReader(""), 0, 10, 0, nil},
		"small":                {strings.NewReader("abc"), 3, 10, 3, nil},
		"at the limit":         {strings.NewReader("abc"), -1, 3, 3, nil},
		"over the limit":       {strings.NewReader("abcd"), -1, 3, 0, forwarding.ErrTooLarge},
		"announced over":       {strings.NewReader(""), 11, 10, 0, forwarding.ErrTooLarge},
		"large":                {strings.NewReader(large), int64(len(large)), 0, len(large), nil},
		"large without length": {strings.NewReader(large), -1, 1 << 20, len(large), nil},
		"large over the limit": {strings.NewReader(large), -1, int64(len(large)) - 1, 0, forwarding.ErrTooLarge},
		"large, truncated":     {broken, -1, 1 << 20, 0, forwarding.ErrIncompleteBody},
	} {
		body, release, err := bodyReader.Read(c.source, c.announced, c.limit)
		release()
		must.True(t, errors.Is(err, c.failure), must.Sprint(name, err))
		must.Len(t, c.length, body, must.Sprint(name))
	}
	const bodyMemory = 96 << 20
	must.True(t, bodyReader.Reserve(bodyMemory), must.Sprint("a reservation was not released"))
	_, release, err := bodyReader.Read(strings.NewReader(large), -1, 1<<20)
	release()
	must.ErrorIs(t, err, forwarding.ErrNoMemory)
}
