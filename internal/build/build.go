// Package build identifies the build of the running program.
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
	// buildIDSection is the ELF section in which the Go linker stores the build ID.
	buildIDSection = ".note.go.buildid"
	// noteHeaderSize is the size of an ELF note's header in bytes: name length, content length and type, 4 bytes each.
	noteHeaderSize = 12
	// noteAlignment is the alignment in bytes of the content that follows a note's name.
	noteAlignment = 4
	// idLength is the number of characters of the hash in an ID. 8 base64 characters hold 48 bits, so collisions are unlikely.
	idLength = 8
)

// Unknown is the ID of a program without a readable Go build ID.
const Unknown = "unknown"

// ID returns a short hash of the running program, or Unknown with an error. Builds of the same sources with the same toolchain
// have the same ID. It is read from the Go build ID rather than from version control, because builds for deployment have no
// repository history.
var ID = sync.OnceValues(func() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return Unknown, errors.Wrap(err, "find executable")
	}
	id, err := readID(path)
	if err != nil {
		return Unknown, err
	}
	return id, nil
})

// readID returns the ID of an executable file.
func readID(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "open executable")
	}
	defer file.Close()
	section := file.Section(buildIDSection)
	if section == nil {
		return "", errors.Newf("%s has no section %s", path, buildIDSection)
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrap(err, "read build ID")
	}
	content, err := noteContent(note, file.ByteOrder)
	if err != nil {
		return "", err
	}
	parts := strings.Split(content, "/") // the last part is the hash of the program itself, the others are of its inputs
	hash := parts[len(parts)-1]
	return hash[:min(idLength, len(hash))], nil
}

// noteContent returns the content of an ELF note.
func noteContent(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeaderSize {
		return "", errors.New("build ID note is truncated")
	}
	name, size := int(order.Uint32(note)), int(order.Uint32(note[4:]))
	begin := noteHeaderSize + (name+noteAlignment-1)/noteAlignment*noteAlignment
	if begin < noteHeaderSize || size <= 0 || begin+size > len(note) {
		return "", errors.New("build ID note has invalid lengths")
	}
	return string(bytes.TrimRight(note[begin:begin+size], "\x00")), nil
}
