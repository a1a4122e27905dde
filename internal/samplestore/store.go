// Package samplestore stores the registers of partitions in a bbolt file in the node's data folder. Every value has a
// checksum. A damaged file is renamed and replaced by an empty file with a new identity. The owners of partitions then
// restore the registers from the other replicas. A file that cannot be opened for another reason is left as it is.
package samplestore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"github.com/thistlewalk/thistlewalk/internal/partition"
)

const (
	fileName       = "samples.db"
	fileMode       = 0o600
	folderMode     = 0o700
	openTimeout    = time.Second
	checksumLength = 8
)

var (
	metaBucket  = []byte("meta")
	identityKey = []byte("identity")
	promiseKey  = []byte("\x00promise")
)

// ErrCorrupt means that the file is damaged or a value does not match its checksum.
var ErrCorrupt = errors.New("stored bytes do not match their checksum")

// Store implements partition.Storage in one file. It is safe for concurrent use.
type Store struct {
	database *bolt.DB
	identity string
	path     string
	// UnreadablePath is the path that a damaged file was renamed to, or empty if the file was intact.
	UnreadablePath string
}

// Open opens the store in a data folder, and creates the folder and the store if they do not exist. It replaces a damaged
// file. Any other error, such as a denied permission or a lack of descriptors, may pass, and the file may be intact: the
// node must not go on without its promises and registers.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	path := filepath.Join(folder, fileName)
	store, err := open(path)
	if err == nil {
		return store, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, errors.Wrapf(err, "%s is in use by another process", path)
	}
	if !isDamage(err) {
		return nil, errors.Wrapf(err, "%s cannot be opened", path)
	}
	unreadablePath := fmt.Sprintf("%s.unreadable-%d", path, time.Now().UnixNano())
	if renameErr := os.Rename(path, unreadablePath); renameErr != nil {
		return nil, errors.CombineErrors(err, renameErr)
	}
	store, err = open(path)
	if err != nil {
		return nil, err
	}
	store.UnreadablePath = unreadablePath
	return store, nil
}

// isDamage reports whether an error of open says that the content of the file is damaged.
func isDamage(err error) bool {
	return errors.IsAny(err, ErrCorrupt, bolterrors.ErrInvalid, bolterrors.ErrVersionMismatch, bolterrors.ErrChecksum)
}

// open opens a file and verifies its whole content.
func open(path string) (store *Store, err error) {
	defer func() {
		// bbolt panics on some damaged files.
		if cause := recover(); cause != nil {
			store, err = nil, errors.Mark(errors.Newf("%s: %v", path, cause), ErrCorrupt)
		}
	}()
	if err := checkSize(path); err != nil {
		return nil, err
	}
	database, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: openTimeout, NoFreelistSync: true})
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	store = &Store{database: database, path: path}
	if err := store.verify(); err != nil {
		_ = database.Close()
		return nil, err
	}
	if err := store.loadIdentity(); err != nil {
		_ = database.Close()
		return nil, err
	}
	return store, nil
}

// checkSize returns ErrCorrupt for a file that is shorter than its content. bbolt reports that by text only if it is cut off
// within its first two pages; otherwise it ends the process when it reads a missing page. A database that is opened for
// reading reads no page but the first two.
func checkSize(path string) error {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return errors.Wrap(err, "sample store")
	case !info.Mode().IsRegular() || info.Size() == 0:
		return nil
	case info.Size() < 2*int64(os.Getpagesize()):
		return errors.Wrapf(ErrCorrupt, "%s has %d bytes", path, info.Size())
	}
	database, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: openTimeout, ReadOnly: true})
	if err != nil {
		return errors.Wrap(err, path)
	}
	content := int64(0)
	err = database.View(func(transaction *bolt.Tx) error {
		content = transaction.Size()
		return nil
	})
	if err = errors.CombineErrors(err, database.Close()); err != nil {
		return errors.Wrap(err, path)
	}
	if info.Size() < content {
		return errors.Wrapf(ErrCorrupt, "%s has %d bytes of %d", path, info.Size(), content)
	}
	return nil
}

// verify checks the page structure and every checksum.
func (store *Store) verify() error {
	return store.database.View(func(transaction *bolt.Tx) error {
		for err := range transaction.Check() {
			return errors.Mark(errors.Wrap(err, store.path), ErrCorrupt)
		}
		return transaction.ForEach(func(name []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				_, err := unseal(value)
				return errors.Wrapf(err, "%s: bucket %s, key %q", store.path, name, key)
			})
		})
	})
}

func (store *Store) loadIdentity() error {
	return store.database.Update(func(transaction *bolt.Tx) error {
		bucket, err := transaction.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if sealed := bucket.Get(identityKey); sealed != nil {
			identity, err := unseal(sealed)
			store.identity = string(identity)
			return err
		}
		store.identity = uuid.NewString()
		return bucket.Put(identityKey, seal([]byte(store.identity)))
	})
}

// seal prepends a checksum to content.
func seal(content []byte) []byte {
	sealed := make([]byte, checksumLength, checksumLength+len(content))
	binary.BigEndian.PutUint64(sealed, xxhash.Sum64(content))
	return append(sealed, content...)
}

// unseal verifies and removes the checksum that seal prepended.
func unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < checksumLength || binary.BigEndian.Uint64(sealed) != xxhash.Sum64(sealed[checksumLength:]) {
		return nil, ErrCorrupt
	}
	return sealed[checksumLength:], nil
}

// Identity returns the identity of the file. A file that replaces a lost or unreadable one has another identity.
func (store *Store) Identity() string { return store.identity }

// Close closes the store.
func (store *Store) Close() error { return store.database.Close() }

// Load implements partition.Storage.
func (store *Store) Load(name partition.Name) (uint64, []partition.Register, error) {
	var promised uint64
	var registers []partition.Register
	err := store.database.View(func(transaction *bolt.Tx) error {
		bucket := transaction.Bucket([]byte(name.String()))
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(key, sealed []byte) error {
			content, err := unseal(sealed)
			if err != nil {
				return errors.Wrapf(err, "partition %s, key %q", name, key)
			}
			if bytes.Equal(key, promiseKey) {
				return cbor.Unmarshal(content, &promised)
			}
			register, err := DecodeRegister(content)
			registers = append(registers, register)
			return err
		})
	})
	return promised, registers, errors.Wrap(err, "sample store")
}

// DecodeRegister decodes a stored register.
func DecodeRegister(content []byte) (partition.Register, error) {
	var register partition.Register
	err := cbor.Unmarshal(content, &register)
	return register, errors.Wrap(err, "decode stored register")
}

// Save implements partition.Storage.
func (store *Store) Save(name partition.Name, promised uint64, removePrefixes []string, registers []partition.Register) error {
	return store.database.Update(func(transaction *bolt.Tx) error {
		bucket, err := transaction.CreateBucketIfNotExists([]byte(name.String()))
		if err != nil {
			return errors.Wrap(err, "sample store")
		}
		for _, prefix := range removePrefixes {
			if err := removePrefix(bucket, []byte(prefix)); err != nil {
				return err
			}
		}
		if err := put(bucket, promiseKey, promised); err != nil {
			return err
		}
		for _, register := range registers {
			if err := put(bucket, []byte(register.Key), register); err != nil {
				return err
			}
		}
		return nil
	})
}

func put(bucket *bolt.Bucket, key []byte, value any) error {
	content, err := cbor.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "sample store")
	}
	return errors.Wrap(bucket.Put(key, seal(content)), "sample store")
}

// removePrefix deletes all keys with a prefix. It seeks anew after each deletion: the position of a cursor is undefined once
// an entry of a page that the transaction has changed is deleted, and Next may then skip keys.
func removePrefix(bucket *bolt.Bucket, prefix []byte) error {
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(prefix); key != nil && bytes.HasPrefix(key, prefix); key, _ = cursor.Seek(prefix) {
		if err := cursor.Delete(); err != nil {
			return errors.Wrap(err, "sample store")
		}
	}
	return nil
}
