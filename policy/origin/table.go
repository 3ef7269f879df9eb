package origin

import "time"

// MaxRecords bounds the records of a Table. A replica of the largest sites holds far fewer.
const MaxRecords = 200_000

// Table holds the origins of streams until their callers can no longer take them up.
type Table struct {
	current, previous map[Key]entry
	rotatedAt         time.Time
}

type entry struct {
	origin Origin
	until  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: make(map[Key]entry), previous: make(map[Key]entry)}
}

// Add adds a record. Of several records of one attempt the first holds.
func (t *Table) Add(r *Record, now time.Time) {
	t.rotate(now)
	if _, known := t.Get(r.Key, now); known {
		return
	}
	t.current[r.Key] = entry{origin: r.Origin, until: now.Add(min(r.Left, Retention))}
}

// Get returns the origin of the stream that an attempt began.
func (t *Table) Get(key Key, now time.Time) (Origin, bool) {
	e, known := t.current[key]
	if !known {
		e, known = t.previous[key]
	}
	return e.origin, known && !now.After(e.until)
}

// Records returns the records of a service that have not expired.
func (t *Table) Records(service string, now time.Time) (list []Record) {
	for _, half := range []map[Key]entry{t.current, t.previous} {
		for key, e := range half {
			if e.origin.Service == service && now.Before(e.until) {
				list = append(list, Record{Key: key, Origin: e.origin, Left: e.until.Sub(now)})
			}
		}
	}
	return list
}

// Len returns the number of records that are held, of which some may have expired.
func (t *Table) Len() int { return len(t.current) + len(t.previous) }

// rotate forgets the older half of the records once all of it has expired, or the table is full.
func (t *Table) rotate(now time.Time) {
	if t.rotatedAt.IsZero() {
		t.rotatedAt = now
	}
	if now.Sub(t.rotatedAt) < Retention && len(t.current) < MaxRecords/2 {
		return
	}
	t.current, t.previous, t.rotatedAt = make(map[Key]entry), t.current, now
}
