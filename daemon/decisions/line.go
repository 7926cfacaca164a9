package decisions

import (
	"slices"
	"time"

	"go.uber.org/zap/zapcore"
)

// maxKinds bounds the kinds of a message. The code logs a message with the same keys, but for a few
// fields that it leaves out.
const maxKinds = 64

// kind is what lines of one place in the code share. A field of zap takes 64 bytes, most of them for
// its key and the values that its type does not use, so that a line takes 1.8 KB with them.
type kind struct {
	entry                      zapcore.Entry // without its time
	keys                       []fieldKey
	integers, strings, objects int // number of values
}

type fieldKey struct {
	key   string
	typ   zapcore.FieldType
	holds parts
}

// parts are the values of a field that its type uses.
type parts uint8

const (
	integer parts = 1 << iota
	text
	object
)

func partsOf(t zapcore.FieldType) parts {
	switch t {
	case zapcore.BoolType, zapcore.DurationType, zapcore.Float64Type, zapcore.Float32Type,
		zapcore.Int64Type, zapcore.Int32Type, zapcore.Int16Type, zapcore.Int8Type,
		zapcore.Uint64Type, zapcore.Uint32Type, zapcore.Uint16Type, zapcore.Uint8Type, zapcore.UintptrType:
		return integer
	case zapcore.StringType:
		return text
	case zapcore.StringerType, zapcore.ErrorType:
		return object
	case zapcore.SkipType:
		return 0
	default:
		return integer | text | object
	}
}

// kindOf returns the kind of a line. The caller holds the lock.
func (r *Ring) kindOf(entry zapcore.Entry, context, fields []zapcore.Field) *kind {
	entry.Time = time.Time{}
	known := r.kinds[entry.Message]
	for _, k := range known {
		if k.entry == entry && k.matches(context, fields) {
			return k
		}
	}
	if len(known) >= maxKinds {
		known = nil // lines that are kept refer to theirs
	}
	k := &kind{entry: entry}
	for _, part := range [][]zapcore.Field{context, fields} {
		for _, f := range part {
			k.add(f)
		}
	}
	r.kinds[entry.Message] = append(known, k)
	return k
}

func (k *kind) add(f zapcore.Field) {
	holds := partsOf(f.Type)
	k.keys = append(k.keys, fieldKey{f.Key, f.Type, holds})
	if holds&integer != 0 {
		k.integers++
	}
	if holds&text != 0 {
		k.strings++
	}
	if holds&object != 0 {
		k.objects++
	}
}

func (k *kind) matches(context, fields []zapcore.Field) bool {
	same := func(key fieldKey, f zapcore.Field) bool { return key.typ == f.Type && key.key == f.Key }
	return len(k.keys) == len(context)+len(fields) &&
		slices.EqualFunc(k.keys[:len(context)], context, same) && slices.EqualFunc(k.keys[len(context):], fields, same)
}

// line is a log line that is encoded only when a query returns it. It is used again for a later one.
type line struct {
	at       time.Time
	kind     *kind
	integers []int64
	strings  []string
	objects  []any
}

func (l *line) set(at time.Time, k *kind, context, fields []zapcore.Field) {
	clear(l.strings)
	clear(l.objects)
	*l = line{
		at: at, kind: k,
		integers: slices.Grow(l.integers[:0], k.integers),
		strings:  slices.Grow(l.strings[:0], k.strings),
		objects:  slices.Grow(l.objects[:0], k.objects),
	}
	for i, key := range k.keys {
		from := context
		if i >= len(context) {
			from, i = fields, i-len(context)
		}
		f := &from[i]
		if key.holds&integer != 0 {
			l.integers = append(l.integers, f.Integer)
		}
		if key.holds&text != 0 {
			l.strings = append(l.strings, f.String)
		}
		if key.holds&object != 0 {
			l.objects = append(l.objects, f.Interface)
		}
	}
}

// fields yields the fields in their order.
func (l *line) fields(yield func(zapcore.Field) bool) {
	integers, strings, objects := l.integers, l.strings, l.objects
	for _, key := range l.kind.keys {
		f := zapcore.Field{Key: key.key, Type: key.typ}
		if key.holds&integer != 0 {
			f.Integer, integers = integers[0], integers[1:]
		}
		if key.holds&text != 0 {
			f.String, strings = strings[0], strings[1:]
		}
		if key.holds&object != 0 {
			f.Interface, objects = objects[0], objects[1:]
		}
		if !yield(f) {
			return
		}
	}
}

// field returns the first field with a key, or an empty one.
func (l *line) field(key string) zapcore.Field {
	for f := range l.fields {
		if f.Key == key {
			return f
		}
	}
	return zapcore.Field{}
}

func (l *line) logged() logged {
	entry := l.kind.entry
	entry.Time = l.at
	return logged{entry, slices.AppendSeq(make([]zapcore.Field, 0, len(l.kind.keys)), l.fields)}
}
