package samplestore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	bolt "go.etcd.io/bbolt"

	"github.com/thistlewalk/thistlewalk/internal/partition"
)

var name = partition.Name{Kind: partition.KindSteps, Index: 3}

func openStore(t *testing.T, folder string) *Store {
	store, err := Open(folder)
	must.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	return store
}

func TestStoredStateSurvives(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	identity := store.Identity()
	must.NoError(t, store.Save(name, 4, nil, []partition.Register{{Key: "a/1", Value: []byte("x")}, {Key: "b/1"}}))
	must.NoError(t, store.Save(name, 5, []string{"b/"}, nil))
	must.NoError(t, store.Close())
	store = openStore(t, folder)
	promised, registers, err := store.Load(name)
	must.NoError(t, err)
	must.Eq(t, 5, promised)
	must.Len(t, 1, registers)
	must.Eq(t, identity, store.Identity())
}

// Guards against keys that survive the removal of their prefix, and come back when the node starts again.
func TestRemovedPrefixesLeaveNothing(t *testing.T) {
	for _, keys := range []int{1, 20, 500} {
		folder := t.TempDir()
		store := openStore(t, folder)
		prefixes := []string{"a/", "b/", "c/"}
		var registers []partition.Register
		for number := range keys {
			for _, prefix := range prefixes {
				registers = append(registers, partition.Register{Key: fmt.Sprintf("%s%03d", prefix, number), Value: []byte("x")})
			}
		}
		kept := partition.Register{Key: "d/000", Value: []byte("x")}
		must.NoError(t, store.Save(name, 4, nil, append(registers, kept)))
		must.NoError(t, store.Save(name, 5, prefixes, []partition.Register{{Key: "b/new", Value: []byte("x")}}))
		must.NoError(t, store.Close())
		_, left, err := openStore(t, folder).Load(name)
		must.NoError(t, err)
		must.Len(t, 2, left, must.Sprint(keys, " keys under each prefix"))
		must.Eq(t, "b/new", left[0].Key)
		must.Eq(t, kept.Key, left[1].Key)
	}
}

// Guards against a replica that keeps its identity after it has lost its promises and registers.
func TestADamagedFileIsMovedAsideAndGetsANewIdentity(t *testing.T) {
	damages := map[string]func(path string) error{
		"torn": func(path string) error { return os.Truncate(path, 5000) },
		"value": func(path string) error {
			database, err := bolt.Open(path, 0o600, nil)
			if err != nil {
				return err
			}
			defer database.Close()
			return database.Update(func(transaction *bolt.Tx) error {
				return transaction.Bucket([]byte(name.String())).Put([]byte("a/1"), []byte("wrong checksum"))
			})
		},
		"not a store": func(path string) error {
			return os.WriteFile(path, []byte("something else that is long enough"), 0o600)
		},
	}
	for kind, damage := range damages {
		t.Run(kind, func(t *testing.T) {
			folder := t.TempDir()
			store := openStore(t, folder)
			identity := store.Identity()
			must.NoError(t, store.Save(name, 4, nil, []partition.Register{{Key: "a/1", Value: []byte("x")}}))
			must.NoError(t, store.Close())
			must.NoError(t, damage(filepath.Join(folder, fileName)))
			store = openStore(t, folder)
			must.NotEq(t, "", store.UnreadablePath)
			must.FileExists(t, store.UnreadablePath)
			must.NotEq(t, identity, store.Identity())
			promised, registers, err := store.Load(name)
			must.NoError(t, err)
			must.Eq(t, 0, promised)
			must.Len(t, 0, registers)
		})
	}
}

// Guards against a file that ends the process at each start because it was cut off, wherever that is.
func TestFileThatIsCutOffIsReplaced(t *testing.T) {
	folder := t.TempDir()
	store := openStore(t, folder)
	var registers []partition.Register
	for number := range 2000 {
		registers = append(registers, partition.Register{Key: fmt.Sprint("a/", number), Value: make([]byte, 40)})
	}
	must.NoError(t, store.Save(name, 4, nil, registers))
	must.NoError(t, store.Close())
	whole, err := os.ReadFile(filepath.Join(folder, fileName))
	must.NoError(t, err)
	const step = 3 * 1024 // within pages and at their ends
	for size := step; size < len(whole); size += step {
		torn := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(torn, fileName), whole[:size], fileMode))
		store, err := Open(torn)
		must.NoError(t, err)
		_, left, err := store.Load(name)
		must.NoError(t, err)
		if store.UnreadablePath == "" {
			must.Len(t, len(registers), left, must.Sprint("only unused pages were cut off, at ", size))
		}
		must.NoError(t, store.Close())
	}
}

// Guards against a node that starts empty because its file could not be opened for a reason that says nothing of its content.
func TestFileThatCannotBeOpenedIsLeftAsItIs(t *testing.T) {
	for kind, obstruct := range map[string]func(path string) error{
		"a folder":          func(path string) error { return os.Mkdir(path, 0o700) },
		"a loop of links":   func(path string) error { return os.Symlink(path, path) },
		"a missing folder":  func(path string) error { return os.Symlink(filepath.Join(path+"-away", "samples.db"), path) },
		"not a plain file":  func(path string) error { return os.Symlink(os.DevNull, path) },
		"no write possible": func(path string) error { return os.Symlink("/proc/version", path) },
	} {
		t.Run(kind, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, fileName)
			must.NoError(t, obstruct(path))
			before, err := os.Lstat(path)
			must.NoError(t, err)
			_, err = Open(folder)
			must.Error(t, err)
			after, err := os.Lstat(path)
			must.NoError(t, err)
			must.True(t, os.SameFile(before, after))
			files, err := os.ReadDir(folder)
			must.NoError(t, err)
			must.Len(t, 1, files)
		})
	}
}

func FuzzDecodeRegister(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, content []byte) { _, _ = DecodeRegister(content) })
}
