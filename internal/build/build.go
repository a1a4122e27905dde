// Package build tells which build of a program a process runs.
package build

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// noteSection is where the Go linker keeps the build ID of a program.
	noteSection = ".note.go.buildid"
	// noteHead is the size of a note's head in bytes: the lengths of its name and of its content, and its type.
	noteHead = 12
	// noteAlignment is that of a note's name.
	noteAlignment = 4
	// idLength is how many characters of the hash are shown: of two builds, one in 10^14 pairs has the same.
	idLength = 8
)

// Unknown is the ID of a program that does not tell it, as one that another linker made.
const Unknown = "unknown"

// ID returns a short hash of the program that this process runs, or Unknown with the reason: builds of the same sources by the same toolchain have the
// same, others have another one. It does not need the repository's history, which is not there where the program is built for deployment.
var ID = sync.OnceValues(func() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return Unknown, errors.Wrap(err, "find the program")
	}
	id, err := idOf(path)
	if err != nil {
		return Unknown, err
	}
	return id, nil
})

// idOf returns the ID of a program file.
func idOf(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "open a program")
	}
	defer file.Close()
	section := file.Section(noteSection)
	if section == nil {
		return "", errors.Newf("%s has no section %s", path, noteSection)
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrap(err, "read a build ID")
	}
	content, err := contentOf(note, file.ByteOrder)
	if err != nil {
		return "", err
	}
	parts := strings.Split(content, "/") // the last one is the hash of the program itself, the others are of what it was made from
	hash := parts[len(parts)-1]
	return hash[:min(idLength, len(hash))], nil
}

// contentOf returns the content of a note.
func contentOf(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHead {
		return "", errors.New("a note is cut off")
	}
	name, size := int(order.Uint32(note)), int(order.Uint32(note[4:]))
	begin := noteHead + (name+noteAlignment-1)/noteAlignment*noteAlignment
	if begin < noteHead || size <= 0 || begin+size > len(note) {
		return "", errors.New("the lengths of a note make no sense")
	}
	return string(bytes.TrimRight(note[begin:begin+size], "\x00")), nil
}
