package replicas

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperrelay/internal/replica"
)

// Files in the store's folder.
const (
	storeFile   = "replicas.db"
	refusedFile = "replicas.db.refused" // the last store that could not be trusted, kept for inspection
	suspectFile = "doubt"               // marks a store after a failed write, which may or may not be durable
	lockTimeout = 50 * time.Millisecond
)

var (
	errLocked    = errors.New("the store is locked by another process")
	errDamaged   = errors.New("the store is damaged")
	crcTable     = crc32.MakeTable(crc32.Castagnoli)
	metaBucket   = []byte("meta")
	metaKey      = []byte("meta")
	batchKey     = []byte("batch")
	groupsBucket = []byte("groups")
	hardKey      = []byte("h")
	snapKey      = []byte("s")
)

// meta is the part of a store that belongs to no group.
type meta struct {
	Member replica.Member    `json:"member"`
	Table  *replica.Table    `json:"table,omitempty"`
	Active bool              `json:"active,omitempty"`
	Starts int               `json:"starts"`
	Known  map[uint64]uint64 `json:"known,omitempty"`
}

// batchInfo is updated by every batch: the batch's number, and the number of groups, by which a missing group is
// detected.
type batchInfo struct {
	written uint64
	groups  uint32
}

// store is the durable state: a bbolt file in which each record has a checksum over its key and value. bbolt's own
// checksums cover only its two meta pages.
type store struct {
	db        *bbolt.DB
	dir       string
	meta      meta
	lastBatch batchInfo
	// writes counts batches; each takes two calls of fdatasync.
	writes atomic.Int64
}

// openStore opens the folder's store or creates one. A store that cannot be trusted is set aside and replaced by a new
// one; refused is the reason.
func openStore(dir string, self replica.Member) (s *store, groups map[uint32]replica.Stored, refused string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, "", err
	}
	path := filepath.Join(dir, storeFile)
	if reason, err := os.ReadFile(filepath.Join(dir, suspectFile)); err == nil {
		refused = cmp.Or(string(reason), "a write failed")
	} else if _, err := os.Stat(path); err == nil {
		s, groups, err = readStore(dir, self)
		switch {
		case errors.Is(err, errDamaged):
			refused = err.Error()
		case err != nil:
			return nil, nil, "", err
		default:
			return s, groups, "", nil
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, nil, "", err
	}
	if refused != "" {
		if err := setAside(dir); err != nil {
			return nil, nil, refused, err
		}
	}
	s, err = createStore(dir, self)
	return s, nil, refused, err
}

// setAside renames the store, so that the next opening creates a new one.
func setAside(dir string) error {
	err := os.Rename(filepath.Join(dir, storeFile), filepath.Join(dir, refusedFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := os.Remove(filepath.Join(dir, suspectFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// openDB opens the database file. bbolt computes the free pages instead of reading a free list, a record without a
// checksum. It does so on a goroutine of its own, so the file must have been read before, read-only, where its panics
// can be recovered.
func openDB(dir string, readOnly bool) (*bbolt.DB, error) {
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, &bbolt.Options{
		Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType, InitialMmapSize: 64 << 20, ReadOnly: readOnly,
	})
	if errors.Is(err, bolterrors.ErrTimeout) || errors.Is(err, syscall.EAGAIN) {
		return nil, errLocked
	}
	return db, err
}

// createStore creates an empty store with a new incarnation. One that was created only in part lacks its meta records
// and is refused at the next opening.
func createStore(dir string, self replica.Member) (*store, error) {
	self.Incarnation = rand.Uint32N(math.MaxUint32) + 1
	db, err := openDB(dir, false)
	if err != nil {
		return nil, err
	}
	s := &store{db: db, dir: dir, meta: meta{Member: self, Starts: 1}}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(groupsBucket); err != nil {
			return err
		}
		return s.putMeta(tx)
	})
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// readStore reads the store. Its error is errDamaged if the store cannot be trusted.
func readStore(dir string, self replica.Member) (s *store, groups map[uint32]replica.Stored, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil { // bbolt panics on pages that contradict each other; its file stays open
			s, groups, err = nil, nil, fmt.Errorf("%w: %v", errDamaged, r)
		}
	}()
	db, err := openDB(dir, true)
	switch {
	case errors.Is(err, errLocked) || errors.Is(err, os.ErrPermission):
		return nil, nil, err
	case err != nil:
		return nil, nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	s = &store{db: db, dir: dir}
	groups = map[uint32]replica.Stored{}
	err = db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(db.Path()); err != nil || info.Size() < tx.Size() {
			return cmp.Or(err, fmt.Errorf("file is shorter than %d bytes", tx.Size()))
		}
		b := tx.Bucket(metaBucket)
		if b == nil || tx.Bucket(groupsBucket) == nil {
			return errors.New("meta records are missing")
		}
		text, err := verifyChecksum(metaKey, b.Get(metaKey))
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &s.meta); err != nil {
			return err
		}
		if text, err = verifyChecksum(batchKey, b.Get(batchKey)); err != nil || len(text) != 12 {
			return fmt.Errorf("last batch record: %w", cmp.Or(err, errors.New("record is truncated")))
		}
		s.lastBatch = batchInfo{binary.BigEndian.Uint64(text), binary.BigEndian.Uint32(text[8:])}
		err = tx.Bucket(groupsBucket).ForEachBucket(func(k []byte) error {
			g, err := readGroup(k, tx.Bucket(groupsBucket).Bucket(k))
			if err == nil {
				groups[binary.BigEndian.Uint32(k)] = g
			}
			return err
		})
		if err == nil && len(groups) != int(s.lastBatch.groups) {
			return fmt.Errorf("store has %d groups instead of %d", len(groups), s.lastBatch.groups)
		}
		return err
	})
	db.Close()
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if s.meta.Member.Name != self.Name {
		return nil, nil, fmt.Errorf("%w: it belongs to daemon %s", errDamaged, s.meta.Member.Name)
	}
	// The daemon's machine and zone may have changed. The write also detects a disk that accepts no writes, and makes a
	// bbolt meta page durable whose own sync may have failed.
	if s.db, err = openDB(dir, false); err != nil {
		return nil, nil, err
	}
	s.meta.Member.Machine, s.meta.Member.Zone = self.Machine, self.Zone
	s.meta.Starts++
	if err := s.writeMeta(); err != nil {
		s.db.Close()
		return nil, nil, err
	}
	return s, groups, nil
}

func readGroup(k []byte, b *bbolt.Bucket) (g replica.Stored, err error) {
	if len(k) != 4 || b == nil {
		return g, errors.New("group bucket without a valid number")
	}
	fault := func(what string, err error) error {
		return fmt.Errorf("group %d: %s: %w", binary.BigEndian.Uint32(k), what, err)
	}
	text, err := verifyChecksum(recordName(k, hardKey), b.Get(hardKey))
	if err != nil {
		return g, fault("state record", err)
	}
	if len(text) < 8 {
		return g, fault("state record", errors.New("record is truncated"))
	}
	last := binary.BigEndian.Uint64(text)
	g.HardState = &pb.HardState{}
	if err := proto.Unmarshal(text[8:], g.HardState); err != nil {
		return g, fault("state record", err)
	}
	next := uint64(1)
	if text := b.Get(snapKey); text != nil {
		if text, err = verifyChecksum(recordName(k, snapKey), text); err != nil {
			return g, fault("snapshot record", err)
		}
		g.Snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(text, g.Snapshot); err != nil {
			return g, fault("snapshot record", err)
		}
		next = g.Snapshot.GetMetadata().GetIndex() + 1
	}
	c := b.Cursor()
	for key, text := c.Seek(entryKey(next)); len(key) == 9; key, text = c.Next() {
		if text, err = verifyChecksum(recordName(k, key), text); err != nil {
			return g, fault(fmt.Sprint("entry ", next), err)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return g, fault(fmt.Sprint("entry ", next), err)
		}
		if e.GetIndex() != next || binary.BigEndian.Uint64(key[1:]) != next {
			return g, fault(fmt.Sprint("entry ", next), errors.New("record is missing"))
		}
		g.Entries = append(g.Entries, e)
		next++
	}
	if next != last+1 {
		return g, fault("log", fmt.Errorf("ends at %d instead of %d", next-1, last))
	}
	return g, nil
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte{'e'}, index) }

// recordName returns a record's key with its group's number, as the checksum covers it.
func recordName(group, key []byte) []byte { return append(append([]byte(nil), group...), key...) }

// addChecksum prefixes a record with a checksum that also covers its name, so that a record stored under another name
// is detected.
func addChecksum(name, data []byte) []byte {
	sum := crc32.Update(crc32.Checksum(name, crcTable), crcTable, data)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), sum), data...)
}

func verifyChecksum(name, data []byte) ([]byte, error) {
	if len(data) < 4 {
		return nil, errors.New("record is missing")
	}
	if crc32.Update(crc32.Checksum(name, crcTable), crcTable, data[4:]) != binary.BigEndian.Uint32(data) {
		return nil, errors.New("checksum does not match")
	}
	return append([]byte(nil), data[4:]...), nil
}

func (s *store) putMeta(tx *bbolt.Tx) error {
	b, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	text, err := json.Marshal(s.meta)
	if err != nil {
		return err
	}
	if err := b.Put(metaKey, addChecksum(metaKey, text)); err != nil {
		return err
	}
	return s.putBatch(tx)
}

func (s *store) putBatch(tx *bbolt.Tx) error {
	text := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, s.lastBatch.written), s.lastBatch.groups)
	return tx.Bucket(metaBucket).Put(batchKey, addChecksum(batchKey, text))
}

// writeMeta writes the records that belong to no group.
func (s *store) writeMeta() error {
	s.writes.Add(1)
	return s.db.Update(s.putMeta)
}

// save writes a batch durably.
func (s *store) save(w *replica.Write) error {
	s.writes.Add(1)
	return s.db.Update(func(tx *bbolt.Tx) error {
		all := tx.Bucket(groupsBucket)
		for _, p := range w.Groups {
			k := binary.BigEndian.AppendUint32(nil, p.Group)
			b := all.Bucket(k)
			if p.Drop {
				if b != nil {
					if err := all.DeleteBucket(k); err != nil {
						return err
					}
					s.lastBatch.groups--
				}
				continue
			}
			if b == nil {
				var err error
				if b, err = all.CreateBucket(k); err != nil {
					return err
				}
				b.FillPercent = 0.9 // keys increase
				s.lastBatch.groups++
			}
			if err := saveGroup(k, b, p); err != nil {
				return err
			}
		}
		s.lastBatch.written = w.Number
		if w.Known == nil {
			return s.putBatch(tx)
		}
		s.meta.Known = w.Known
		return s.putMeta(tx)
	})
}

func saveGroup(k []byte, b *bbolt.Bucket, p replica.GroupWrite) error {
	last, hard := uint64(0), []byte(nil)
	if text := b.Get(hardKey); len(text) >= 12 {
		last, hard = binary.BigEndian.Uint64(text[4:]), append(hard, text[12:]...)
	}
	cut := func(from, to uint64) error { // deletes entries from..to-1
		c := b.Cursor()
		for key, _ := c.Seek(entryKey(from)); len(key) == 9 && binary.BigEndian.Uint64(key[1:]) < to; key, _ = c.Seek(entryKey(from)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	}
	if p.Snapshot != nil {
		text, err := proto.Marshal(p.Snapshot)
		if err != nil {
			return err
		}
		if err := b.Put(snapKey, addChecksum(recordName(k, snapKey), text)); err != nil {
			return err
		}
		if p.Reset {
			if err := cut(0, math.MaxUint64); err != nil {
				return err
			}
			last = p.Snapshot.GetMetadata().GetIndex()
		}
		last = max(last, p.Snapshot.GetMetadata().GetIndex())
	}
	if p.KeepFrom > 0 {
		if err := cut(0, p.KeepFrom); err != nil {
			return err
		}
	}
	if len(p.Entries) > 0 {
		if err := cut(p.Entries[0].GetIndex(), math.MaxUint64); err != nil {
			return err
		}
		for _, e := range p.Entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			key := entryKey(e.GetIndex())
			if err := b.Put(key, addChecksum(recordName(k, key), text)); err != nil {
				return err
			}
			last = e.GetIndex()
		}
	}
	if p.HardState != nil {
		var err error
		if hard, err = proto.Marshal(p.HardState); err != nil {
			return err
		}
	}
	return b.Put(hardKey, addChecksum(recordName(k, hardKey), append(binary.BigEndian.AppendUint64(nil, last), hard...)))
}

// markSuspect makes the next opening set the store aside, unless the disk was full: bbolt first writes pages that
// nothing refers to yet, so nothing has changed then.
func (s *store) markSuspect(why error) {
	full := errors.Is(why, syscall.ENOSPC) || errors.Is(why, syscall.EDQUOT) || errors.Is(why, syscall.EFBIG)
	if !full {
		os.WriteFile(filepath.Join(s.dir, suspectFile), []byte(why.Error()), 0o600)
	}
}

func (s *store) close() { s.db.Close() }
