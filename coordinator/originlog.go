package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"savoryreel.example/savoryreel/policy/origin"
	"savoryreel.example/savoryreel/replica/storage"
)

// The records are in files that are written in turn, each for originFileTime. One is truncated only when
// all of its records have expired.
const (
	originFiles     = "origins"
	originFileCount = 4
	originFileTime  = origin.Retention / (originFileCount - 2)
)

// originLog stores origins of streams in the data folder, so that they outlast a restart of all processes.
// Each write appends a batch and syncs it.
type originLog struct {
	fs  storage.FS
	dir string

	file     storage.File // nil: none is open
	number   int          // of the file
	openedAt time.Time
}

// originBatch is the content of a frame.
type originBatch struct {
	At      time.Time       `msgpack:"at"`
	Records []origin.Record `msgpack:"records"`
}

func (l *originLog) name(i int) string {
	return filepath.Join(l.dir, fmt.Sprintf("%s.%d", originFiles, i%originFileCount))
}

// write appends records and syncs them. Its errors lose records, which costs take-ups after a restart
// only.
func (l *originLog) write(records []origin.Record, now time.Time) error {
	body, err := msgpack.Marshal(&originBatch{At: now, Records: records})
	if err != nil {
		return trace.Wrap(err, "step=encode origins")
	}
	enc, err := msgpack.Marshal(&cacheFile{Sum: xxhash.Sum64(body), Body: body})
	if err != nil {
		return trace.Wrap(err, "step=encode origins")
	}
	if err := l.rotate(now); err != nil {
		return err
	}
	_, err = l.file.Write(enc)
	if err = errors.Join(err, l.file.Sync()); err != nil {
		_ = l.file.Close() // a write may be incomplete: what follows goes to the next file
		l.file = nil
	}
	return trace.Wrap(err, "step=write origins")
}

// rotate opens the next file if the current one is old.
func (l *originLog) rotate(now time.Time) error {
	if l.file != nil && now.Sub(l.openedAt) < originFileTime {
		return nil
	}
	if l.file != nil {
		_ = l.file.Close() // it is synced
	}
	l.file = nil
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return trace.Wrap(err, "step=create data folder")
	}
	l.number++
	f, err := l.fs.Create(l.name(l.number))
	if err != nil {
		return trace.Wrap(err, "step=create origins file")
	}
	l.file, l.openedAt = f, now
	return trace.Wrap(l.fs.SyncDir(l.dir), "step=sync data folder")
}

// load returns the records that can be read and have not expired. The next write goes to the oldest file.
func (l *originLog) load(now time.Time) (records []origin.Record, err error) {
	var newest time.Time
	var errs []error
	for i := range originFileCount {
		content, err := l.fs.ReadFile(l.name(i))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		errs = append(errs, trace.Wrap(err, "step=read %s", l.name(i)))
		batches := decodeOrigins(content)
		for _, b := range batches {
			age := max(now.Sub(b.At), 0) // the clock may have been set back
			for _, r := range b.Records {
				if r.Left -= age; r.Left > 0 {
					records = append(records, r)
				}
			}
		}
		if n := len(batches); n > 0 && batches[n-1].At.After(newest) {
			newest, l.number = batches[n-1].At, i
		}
	}
	return records, errors.Join(errs...)
}

// decodeOrigins returns the batches before the first one that is incomplete.
func decodeOrigins(content []byte) (list []originBatch) {
	dec := msgpack.NewDecoder(bytes.NewReader(content))
	for {
		var frame cacheFile
		var batch originBatch
		if dec.Decode(&frame) != nil || xxhash.Sum64(frame.Body) != frame.Sum || msgpack.Unmarshal(frame.Body, &batch) != nil {
			return list
		}
		list = append(list, batch)
	}
}
