// Package snapshot keeps what a dispatcher would like to find after its machine was off: the last list, who is left
// out by hand and what was learned. It is advice: whatever is wrong with it, the dispatcher starts without.
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

// Format is of what is written. One of another format, by an older or newer program, is not read.
const Format = 1

const (
	lockWithin = 200 * time.Millisecond // another process of this dispatcher may have the file
	mostText   = 16 << 20
)

var (
	bucket = []byte("winglb")
	entry  = []byte("last")
)

// Content is one snapshot.
type Content struct {
	Format  int                     `json:"Format"`
	Node    string                  `json:"Node"` // whose it is
	Written time.Time               `json:"Written"`
	List    dispatch.InstanceUpdate `json:"List"`
	Cordons []string                `json:"Cordons"`
	Learned dispatch.HandoverState  `json:"Learned"` // without commands
}

// ErrNone says that nothing was written yet.
var ErrNone = errors.New("no snapshot yet")

// Read reads a file's snapshot. Whatever stands in the file, it returns an error and does not panic.
func Read(path, node string) (c *Content, err error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, ErrNone
	}
	// A file that was cut short is read through a mapping that ends before it: the fault becomes a panic.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			c, err = nil, fmt.Errorf("not readable: %v", fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin, ReadOnly: true})
	if err != nil {
		return nil, err
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return ErrNone
		}
		c, err = decode(b.Get(entry), node)
		return err
	})
	return c, err
}

// decode checks what was read: the sum of the text before it, its format and whose it is.
func decode(text []byte, node string) (*Content, error) {
	switch {
	case text == nil:
		return nil, ErrNone
	case len(text) < sha256.Size || len(text) > mostText:
		return nil, fmt.Errorf("%d bytes: torn", len(text))
	}
	body := text[sha256.Size:]
	if sum := sha256.Sum256(body); string(sum[:]) != string(text[:sha256.Size]) {
		return nil, errors.New("its sum is wrong: torn")
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
		return nil, fmt.Errorf("of format %d, this program's is %d", head.Format, Format)
	case head.Node != node:
		return nil, fmt.Errorf("of %q, this is %q", head.Node, node)
	}
	c := &Content{}
	return c, json.Unmarshal(body, c)
}

// File is a snapshot's file while this process has it.
type File struct{ db *bbolt.DB }

// Open takes the file. One that is no store is put aside.
func Open(path string) (*File, error) {
	f, err := open(path)
	if err == nil || errors.Is(err, bolterrors.ErrTimeout) {
		return f, err
	}
	if moved := os.Rename(path, path+".bad"); moved != nil {
		return nil, errors.Join(err, moved)
	}
	return open(path)
}

func open(path string) (f *File, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("no store: %v", fault)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWithin})
	if err != nil {
		return nil, err
	}
	if err := db.Update(func(tx *bbolt.Tx) error { // a torn store shows it here at the latest
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	}); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return &File{db}, nil
}

// Write writes a snapshot in the place of the last.
func (f *File) Write(c *Content) error {
	c.Format = Format
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	text := append(sum[:], body...)
	if len(text) > mostText {
		return fmt.Errorf("%d bytes: too many", len(text))
	}
	return f.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(entry, text) })
}

// Close lets go of the file.
func (f *File) Close() error { return f.db.Close() }
