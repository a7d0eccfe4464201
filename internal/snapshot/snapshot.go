// Package snapshot stores what helps a dispatcher to restart after its machine was off: the last instance list, the
// cordons and what was learned about instances. A snapshot is optional: without a valid one the dispatcher still starts.
package snapshot

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"caperrelay/internal/dispatch"
)

// Format is the version of the stored form. A snapshot of another version, from an older or newer program, is not read.
const Format = 1

const (
	lockTimeout = 200 * time.Millisecond // another process of this dispatcher may hold the file's lock
	maxSize     = 16 << 20
)

var (
	bucketName = []byte("winglb")
	entryKey   = []byte("last")
)

// Content is the payload of one snapshot.
type Content struct {
	Format  int                     `json:"Format"`
	Node    string                  `json:"Node"` // name of the dispatcher that wrote it
	Written time.Time               `json:"Written"`
	List    dispatch.InstanceUpdate `json:"List"`
	Cordons []string                `json:"Cordons"`
	Learned dispatch.HandoverState  `json:"Learned"` // without commands
}

// ErrNone means that no snapshot has been written yet.
var ErrNone = errors.New("no snapshot yet")

// Read returns the snapshot in a file. It returns an error and does not panic, however the file is damaged.
func Read(path, node string) (c *Content, err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, ErrNone
	}
	// bbolt maps the file into memory. Reads past the end of a truncated file fault; the fault becomes a panic.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			c, err = nil, fmt.Errorf("not readable: %v", fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return nil, err
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketName)
		if b == nil {
			return ErrNone
		}
		c, err = decode(b.Get(entryKey), node)
		return err
	})
	return c, err
}

// decode parses a stored entry, which is a checksum and a JSON body. It checks the checksum, the format and the
// dispatcher's name.
func decode(text []byte, node string) (*Content, error) {
	switch {
	case text == nil:
		return nil, ErrNone
	case len(text) < sha256.Size || len(text) > maxSize:
		return nil, fmt.Errorf("entry of %d bytes: truncated or too long", len(text))
	}
	body := text[sha256.Size:]
	if sum := sha256.Sum256(body); string(sum[:]) != string(text[:sha256.Size]) {
		return nil, errors.New("checksum mismatch")
	}
	var head struct {
		Format int    `json:"Format"`
		Node   string `json:"Node"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, err
	}
	switch {
	case head.Format != Format:
		return nil, fmt.Errorf("format %d, this program reads format %d", head.Format, Format)
	case head.Node != node:
		return nil, fmt.Errorf("snapshot of %q, this dispatcher is %q", head.Node, node)
	}
	c := &Content{}
	return c, json.Unmarshal(body, c)
}

// File is a snapshot file that this process has locked.
type File struct{ db *bbolt.DB }

// Open opens and locks the file. If it is no valid store, it is renamed and replaced by an empty one.
func Open(path string) (*File, error) {
	f, err := open(path)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return f, err
	}
	if renameErr := os.Rename(path, path+".bad"); renameErr != nil {
		return nil, errors.Join(err, renameErr)
	}
	return open(path)
}

func open(path string) (f *File, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("not a valid store: %v", fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, err
	}
	if err := db.Update(func(tx *bbolt.Tx) error { // a damaged store fails here at the latest
		_, err := tx.CreateBucketIfNotExists(bucketName)
		return err
	}); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return &File{db}, nil
}

// Write replaces the last snapshot.
func (f *File) Write(c *Content) error {
	c.Format = Format
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text := append(sum[:], body...)
	if len(text) > maxSize {
		return fmt.Errorf("snapshot of %d bytes: too large", len(text))
	}
	return f.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketName).Put(entryKey, text) })
}

// Close closes and unlocks the file.
func (f *File) Close() error { return f.db.Close() }
