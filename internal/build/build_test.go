package build

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestIDOfAProgram(t *testing.T) {
	path, err := os.Executable()
	must.NoError(t, err)
	id, err := readID(path)
	must.NoError(t, err)
	must.Eq(t, idLength, len(id))
	own, err := ID()
	must.NoError(t, err)
	must.Eq(t, id, own)
}

func TestIDOfSomethingElse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "text")
	must.NoError(t, os.WriteFile(path, []byte("text"), 0o600))
	_, err := readID(path)
	must.Error(t, err)
}

func TestNotesThatMakeNoSense(t *testing.T) {
	for _, note := range [][]byte{
		nil, make([]byte, noteHeaderSize), // truncated, no content
		{4, 0, 0, 0, 99, 0, 0, 0, 4, 0, 0, 0, 'G', 'o', 0, 0, 'x'},       // content longer than the section
		{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 4, 0, 0, 0, 'G', 'o', 0, 0}, // name longer than the section
	} {
		_, err := noteContent(note, binary.LittleEndian)
		must.Error(t, err)
	}
	content, err := noteContent([]byte{4, 0, 0, 0, 3, 0, 0, 0, 4, 0, 0, 0, 'G', 'o', 0, 0, 'a', '/', 'b'}, binary.LittleEndian)
	must.NoError(t, err)
	must.Eq(t, "a/b", content)
}
