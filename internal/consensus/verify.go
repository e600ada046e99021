package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
)

// The layout of a bbolt file, version 2. Numbers are little-endian.
const (
	bboltMagic      = 0xED0CDAED
	bboltVersion    = 2
	pageHeader      = 16 // number, kind, count of elements, count of further pages
	elementHeader   = 16
	bucketHeader    = 16 // root page, sequence
	checkedMeta     = 56 // bytes of a meta page's body that its checksum covers
	firstDataPage   = 2  // behind the two meta pages
	branchPage      = 0x01
	leafPage        = 0x02
	freelistPage    = 0x10
	bucketElement   = 0x01
	longFreelist    = 0xFFFF // its count stands in front of the list
	maxDepth        = 32
	lastCheckedPage = 1
)

var littleEndian = binary.LittleEndian

// corruptPages is a database that bbolt would go astray in.
type corruptPages struct{ why string }

// Error says where.
func (e *corruptPages) Error() string { return e.why }

// Hint is that of the folder which holds the database.
func (*corruptPages) Hint() string { return (*CorruptFolder)(nil).Hint() }

func corruptf(format string, args ...any) error {
	return &corruptPages{why: fmt.Sprintf(format, args...)}
}

// pageVerifier walks over the pages of a bbolt file.
type pageVerifier struct {
	file  io.ReaderAt
	pages uint64
	used  map[uint64]bool
}

// metaPage is what a meta page says.
type metaPage struct {
	root, freelist, pages, txID uint64
}

// verifyPages checks how the pages of a bbolt file hang together: both meta pages are whole; every page that is
// pointed to lies within the file, has the number and kind it should have and is reached once; its elements lie
// inside it and their keys are in order; and no page in use is listed as free. bbolt takes all that for granted,
// and with one corrupt meta page it would go back to the state before, which a voter must not. The error is a
// *corruptPages.
func verifyPages(file io.ReaderAt, size int64) error {
	var newest metaPage
	for i := range uint64(firstDataPage) {
		meta, err := readMeta(file, i)
		if err != nil {
			return err
		}
		if meta.txID >= newest.txID {
			newest = meta
		}
	}
	if newest.pages > uint64(size)/pageSize {
		return corruptf("it has %d bytes in place of %d", size, newest.pages*pageSize)
	}
	v := &pageVerifier{file: file, pages: newest.pages, used: map[uint64]bool{0: true, 1: true}}
	if err := v.tree(newest.root, 0, nil, nil); err != nil {
		return err
	}
	return v.freelist(newest.freelist)
}

func readMeta(file io.ReaderAt, number uint64) (metaPage, error) {
	page := make([]byte, pageSize)
	if _, err := file.ReadAt(page, int64(number)*pageSize); err != nil {
		return metaPage{}, corruptf("page %d is missing", number)
	}
	body := page[pageHeader:]
	sum := fnv.New64a()
	_, _ = sum.Write(body[:checkedMeta])
	known := littleEndian.Uint32(body) == bboltMagic &&
		littleEndian.Uint32(body[4:]) == bboltVersion &&
		littleEndian.Uint32(body[8:]) == pageSize
	switch {
	case !known:
		return metaPage{}, corruptf("head page %d is none, or of another version", number)
	case littleEndian.Uint64(body[checkedMeta:]) != sum.Sum64():
		return metaPage{}, corruptf("the sum of head page %d doesn't fit", number)
	}
	return metaPage{
		root:     littleEndian.Uint64(body[16:]),
		freelist: littleEndian.Uint64(body[32:]),
		pages:    littleEndian.Uint64(body[40:]),
		txID:     littleEndian.Uint64(body[48:]),
	}, nil
}

// read reads a page, with those that belong to it, and notes that they are in use.
func (v *pageVerifier) read(number uint64) ([]byte, error) {
	if number < firstDataPage || number >= v.pages {
		return nil, corruptf("a pointer to page %d, of %d", number, v.pages)
	}
	header := make([]byte, pageHeader)
	if _, err := v.file.ReadAt(header, int64(number)*pageSize); err != nil {
		return nil, corruptf("page %d can't be read", number)
	}
	further := uint64(littleEndian.Uint32(header[12:]))
	if littleEndian.Uint64(header) != number || further >= v.pages-number {
		return nil, corruptf("page %d is another one", number)
	}
	for i := number; i <= number+further; i++ {
		if v.used[i] {
			return nil, corruptf("page %d is used twice", i)
		}
		v.used[i] = true
	}
	page := make([]byte, (1+further)*pageSize)
	if _, err := v.file.ReadAt(page, int64(number)*pageSize); err != nil {
		return nil, corruptf("page %d can't be read", number)
	}
	return page, nil
}

func pageKind(page []byte) uint16  { return littleEndian.Uint16(page[8:]) }
func pageCount(page []byte) uint16 { return littleEndian.Uint16(page[10:]) }

// freelist checks the list of free pages: in order, within the file, and none of them in use.
func (v *pageVerifier) freelist(number uint64) error {
	page, err := v.read(number)
	if err != nil {
		return err
	}
	count, list := uint64(pageCount(page)), page[pageHeader:]
	if count == longFreelist {
		count, list = littleEndian.Uint64(list), list[8:]
	}
	if pageKind(page) != freelistPage || count > uint64(len(list)/8) {
		return corruptf("page %d is no list of free pages", number)
	}
	last := uint64(lastCheckedPage)
	for i := range count {
		free := littleEndian.Uint64(list[8*i:])
		if free <= last || free >= v.pages || v.used[free] {
			return corruptf("page %d is told as free", free)
		}
		last = free
	}
	return nil
}

// tree checks a page and those below it, whose keys lie from least to below most (nil: anywhere).
func (v *pageVerifier) tree(number uint64, depth int, least, most []byte) error {
	if depth > maxDepth {
		return corruptf("its pages lie too deep")
	}
	page, err := v.read(number)
	if err != nil {
		return err
	}
	return v.page(number, page, depth, least, most)
}

// page checks the elements of one page, also of one that lies inside another's element.
func (v *pageVerifier) page(number uint64, page []byte, depth int, least, most []byte) error {
	kind, count := pageKind(page), int(pageCount(page))
	known := kind == branchPage && count > 0 || kind == leafPage
	if !known || pageHeader+elementHeader*count > len(page) {
		return corruptf("page %d is of an unknown kind", number)
	}
	elements := make([]pageElement, count)
	for i := range elements {
		element, ok := readElement(page, kind, i)
		if !ok {
			return corruptf("an element of page %d reaches out of it", number)
		}
		repeated := i > 0 && bytes.Equal(element.key, least)
		if bytes.Compare(element.key, least) < 0 || repeated || most != nil && bytes.Compare(element.key, most) >= 0 {
			return corruptf("the keys of page %d are out of order", number)
		}
		elements[i], least = element, element.key
	}
	for i, element := range elements {
		end := most
		if i+1 < count {
			end = elements[i+1].key
		}
		if err := v.element(number, kind, element, depth, end); err != nil {
			return err
		}
	}
	return nil
}

// pageElement is an element of a branch, which has a child page, or of a leaf, which has a value.
type pageElement struct {
	key, value []byte
	flags      uint32 // of a leaf's
	child      uint64 // of a branch's
}

// readElement reads the i-th element; false if it reaches out of the page.
func readElement(page []byte, kind uint16, i int) (pageElement, bool) {
	start := pageHeader + elementHeader*i
	header := page[start:]
	position, keySize, valueSize := littleEndian.Uint32(header), littleEndian.Uint32(header[4:]), uint32(0)
	if kind == leafPage {
		position, keySize = littleEndian.Uint32(header[4:]), littleEndian.Uint32(header[8:])
		valueSize = littleEndian.Uint32(header[12:])
	}
	keyAt := uint64(start) + uint64(position)
	valueAt := keyAt + uint64(keySize)
	if keySize == 0 || valueAt+uint64(valueSize) > uint64(len(page)) {
		return pageElement{}, false
	}
	return pageElement{
		key:   page[keyAt:valueAt],
		value: page[valueAt:][:valueSize],
		flags: littleEndian.Uint32(header),
		child: littleEndian.Uint64(header[8:]),
	}, true
}

// element checks what lies below an element, whose keys end before end: a branch's child, or a bucket, whose page
// may lie inside.
func (v *pageVerifier) element(number uint64, kind uint16, element pageElement, depth int, end []byte) error {
	switch {
	case kind == branchPage:
		return v.tree(element.child, depth+1, element.key, end)
	case element.flags > bucketElement:
		return corruptf("an element of page %d is of an unknown kind", number)
	case element.flags == 0:
		return nil
	case len(element.value) < bucketHeader:
		return corruptf("a bucket in page %d is cut off", number)
	}
	if root := littleEndian.Uint64(element.value); root != 0 {
		return v.tree(root, depth+1, nil, nil)
	}
	if len(element.value) < bucketHeader+pageHeader {
		return corruptf("a bucket in page %d is cut off", number)
	}
	return v.page(number, element.value[bucketHeader:], depth+1, nil, nil)
}
