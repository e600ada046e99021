package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
)

// corruptPages is a file that bbolt would go astray in.
type corruptPages struct{ why string }

func (e *corruptPages) Error() string { return e.why }

// Hint implements advice.Giver.
func (*corruptPages) Hint() string { return (*CorruptFolder)(nil).Hint() }

func corruptf(s string, args ...any) error { return &corruptPages{why: fmt.Sprintf(s, args...)} }

// verifyPages looks at how the pages of a bbolt file hang together: both heads whole, every page that is pointed to within the
// file, of the number and kind it should be, reached once, its elements inside it and their keys in order, and no page in
// use told as free. bbolt itself takes all that for granted, and with one damaged head it would go back to the state
// before, which a voter must not.
func verifyPages(f io.ReaderAt, size int64) error {
	w := &pageVerifier{f: f, seen: map[uint64]bool{0: true, 1: true}}
	var root, free, newest uint64
	for i := range uint64(2) {
		b := make([]byte, pageSize)
		if _, err := f.ReadAt(b, int64(i)*pageSize); err != nil {
			return corruptf("page %d is missing", i)
		}
		m := b[16:]
		sum := fnv.New64a()
		_, _ = sum.Write(m[:56])
		le := binary.LittleEndian
		switch {
		case le.Uint32(m) != 0xED0CDAED || le.Uint32(m[4:]) != 2 || le.Uint32(m[8:]) != pageSize:
			return corruptf("head page %d is none, or of another version", i)
		case le.Uint64(m[56:]) != sum.Sum64():
			return corruptf("the sum of head page %d doesn't fit", i)
		}
		if tx := le.Uint64(m[48:]); tx >= newest {
			newest, root, free, w.end = tx, le.Uint64(m[16:]), le.Uint64(m[32:]), le.Uint64(m[40:])
		}
	}
	if w.end > uint64(size)/pageSize {
		return corruptf("it has %d bytes in place of %d", size, w.end*pageSize)
	}
	if err := w.tree(root, 0, nil, nil); err != nil {
		return err
	}
	return w.free(free)
}

type pageVerifier struct {
	f    io.ReaderAt
	end  uint64 // pages
	seen map[uint64]bool
}

// read reads page id, with those that belong to it, and notes that they are in use.
func (w *pageVerifier) read(id uint64) ([]byte, error) {
	if id < 2 || id >= w.end {
		return nil, corruptf("a pointer to page %d, of %d", id, w.end)
	}
	head := make([]byte, 16)
	if _, err := w.f.ReadAt(head, int64(id)*pageSize); err != nil {
		return nil, corruptf("page %d can't be read", id)
	}
	le := binary.LittleEndian
	more := uint64(le.Uint32(head[12:]))
	if le.Uint64(head) != id || more >= w.end-id {
		return nil, corruptf("page %d is another one", id)
	}
	for i := id; i <= id+more; i++ {
		if w.seen[i] {
			return nil, corruptf("page %d is used twice", i)
		}
		w.seen[i] = true
	}
	page := make([]byte, (1+more)*pageSize)
	if _, err := w.f.ReadAt(page, int64(id)*pageSize); err != nil {
		return nil, corruptf("page %d can't be read", id)
	}
	return page, nil
}

// free looks at the list of free pages.
func (w *pageVerifier) free(id uint64) error {
	page, err := w.read(id)
	if err != nil {
		return err
	}
	le := binary.LittleEndian
	count, list := uint64(le.Uint16(page[10:])), page[16:]
	if count == 0xFFFF {
		count, list = le.Uint64(list), list[8:]
	}
	if le.Uint16(page[8:]) != 0x10 || count > uint64(len(list)/8) {
		return corruptf("page %d is no list of free pages", id)
	}
	last := uint64(1)
	for i := range count {
		x := le.Uint64(list[8*i:])
		if x <= last || x >= w.end || w.seen[x] {
			return corruptf("page %d is told as free", x)
		}
		last = x
	}
	return nil
}

// tree looks at a page and those below it, whose keys lie from least to below most (nil: anywhere).
func (w *pageVerifier) tree(id uint64, depth int, least, most []byte) error {
	if depth > 32 {
		return corruptf("its pages lie too deep")
	}
	page, err := w.read(id)
	if err != nil {
		return err
	}
	return w.page(id, page, depth, least, most)
}

// page looks at the elements of one page, also of one that lies inside another's element.
func (w *pageVerifier) page(id uint64, page []byte, depth int, least, most []byte) error {
	le := binary.LittleEndian
	flags, count := le.Uint16(page[8:]), int(le.Uint16(page[10:]))
	if flags != 1 && flags != 2 || 16+16*count > len(page) || flags == 1 && count == 0 {
		return corruptf("page %d is of an unknown kind", id)
	}
	type element struct {
		key, value []byte
		flags      uint32
		child      uint64
	}
	list := make([]element, count)
	for i := range count {
		e, at := page[16+16*i:], 16+16*i
		pos, klen, vlen := le.Uint32(e), le.Uint32(e[4:]), uint32(0)
		if flags == 2 {
			pos, klen, vlen = le.Uint32(e[4:]), le.Uint32(e[8:]), le.Uint32(e[12:])
		}
		from := uint64(at) + uint64(pos)
		if klen == 0 || from+uint64(klen)+uint64(vlen) > uint64(len(page)) {
			return corruptf("an element of page %d reaches out of it", id)
		}
		x := element{key: page[from:][:klen], value: page[from+uint64(klen):][:vlen], flags: le.Uint32(e), child: le.Uint64(e[8:])}
		if bytes.Compare(x.key, least) < 0 || i > 0 && bytes.Equal(x.key, least) || most != nil && bytes.Compare(x.key, most) >= 0 {
			return corruptf("the keys of page %d are out of order", id)
		}
		list[i], least = x, x.key
	}
	for i, x := range list {
		switch {
		case flags == 1:
			end := most
			if i+1 < count {
				end = list[i+1].key
			}
			if err := w.tree(x.child, depth+1, x.key, end); err != nil {
				return err
			}
		case x.flags > 1:
			return corruptf("an element of page %d is of an unknown kind", id)
		case x.flags == 0:
		case len(x.value) < 16:
			return corruptf("a bucket in page %d is cut off", id)
		case le.Uint64(x.value) != 0:
			if err := w.tree(le.Uint64(x.value), depth+1, nil, nil); err != nil {
				return err
			}
		case len(x.value) < 32:
			return corruptf("a bucket in page %d is cut off", id)
		default:
			if err := w.page(id, x.value[16:], depth+1, nil, nil); err != nil {
				return err
			}
		}
	}
	return nil
}
