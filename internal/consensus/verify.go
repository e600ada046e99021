package consensus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
)

// Layout of a bbolt file, version 2. Numbers are little-endian.
const (
	bboltMagic            = 0xED0CDAED
	bboltVersion          = 2
	pageHeaderBytes       = 16 // page number (8), kind (2), number of elements (2), number of overflow pages (4)
	elementHeaderBytes    = 16
	bucketHeaderBytes     = 16 // root page (8), sequence (8)
	metaChecksumBytes     = 56 // part of a meta page's body that its checksum covers
	firstDataPage         = 2  // page number of the first page after the two meta pages
	branchPage            = 0x01
	leafPage              = 0x02
	freelistPage          = 0x10
	bucketElement         = 0x01
	freelistCountOverflow = 0xFFFF // element count of a freelist whose real count precedes the list
	maxTreeDepth          = 32
	lastMetaPage          = 1
)

var littleEndian = binary.LittleEndian

// corruptPages reports a database whose pages bbolt must not read.
type corruptPages struct{ reason string }

// Error implements error.
func (e *corruptPages) Error() string { return e.reason }

// Hint implements hint.Hinter with the hint of CorruptFolder.
func (*corruptPages) Hint() string { return (*CorruptFolder)(nil).Hint() }

func corruptf(format string, args ...any) error {
	return &corruptPages{reason: fmt.Sprintf(format, args...)}
}

// pageVerifier walks the pages of a bbolt file.
type pageVerifier struct {
	file  io.ReaderAt
	pages uint64
	used  map[uint64]bool
}

// metaPage holds the fields of a meta page.
type metaPage struct {
	root, freelist, pages, txID uint64
}

// verifyPages checks the structure of a bbolt file: both meta pages are intact; every referenced page lies within the
// file, has the expected number and kind and is referenced once; its elements lie inside it and their keys are in
// order; and no page in use is listed as free. bbolt assumes all of that. With one corrupt meta page it would fall back
// to the previous state, which would make a voter forget what it has acknowledged. The error is a *corruptPages.
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
	if newest.pages > uint64(size)/pageBytes {
		return corruptf("file has %d bytes, want %d", size, newest.pages*pageBytes)
	}
	v := &pageVerifier{file: file, pages: newest.pages, used: map[uint64]bool{0: true, 1: true}}
	if err := v.tree(newest.root, 0, nil, nil); err != nil {
		return err
	}
	return v.freelist(newest.freelist)
}

func readMeta(file io.ReaderAt, number uint64) (metaPage, error) {
	page := make([]byte, pageBytes)
	if _, err := file.ReadAt(page, int64(number)*pageBytes); err != nil {
		return metaPage{}, corruptf("page %d is missing", number)
	}
	body := page[pageHeaderBytes:]
	sum := fnv.New64a()
	_, _ = sum.Write(body[:metaChecksumBytes])
	known := littleEndian.Uint32(body) == bboltMagic &&
		littleEndian.Uint32(body[4:]) == bboltVersion &&
		littleEndian.Uint32(body[8:]) == pageBytes
	switch {
	case !known:
		return metaPage{}, corruptf("page %d is not a meta page, or of an unknown version", number)
	case littleEndian.Uint64(body[metaChecksumBytes:]) != sum.Sum64():
		return metaPage{}, corruptf("checksum mismatch of meta page %d", number)
	}
	return metaPage{
		root:     littleEndian.Uint64(body[16:]),
		freelist: littleEndian.Uint64(body[32:]),
		pages:    littleEndian.Uint64(body[40:]),
		txID:     littleEndian.Uint64(body[48:]),
	}, nil
}

// read reads a page with its overflow pages, and marks them as used.
func (v *pageVerifier) read(number uint64) ([]byte, error) {
	if number < firstDataPage || number >= v.pages {
		return nil, corruptf("reference to page %d of %d", number, v.pages)
	}
	header := make([]byte, pageHeaderBytes)
	if _, err := v.file.ReadAt(header, int64(number)*pageBytes); err != nil {
		return nil, corruptf("page %d can't be read", number)
	}
	overflow := uint64(littleEndian.Uint32(header[12:]))
	if littleEndian.Uint64(header) != number || overflow >= v.pages-number {
		return nil, corruptf("header of page %d has a wrong page number or overflow count", number)
	}
	for i := number; i <= number+overflow; i++ {
		if v.used[i] {
			return nil, corruptf("page %d is referenced twice", i)
		}
		v.used[i] = true
	}
	page := make([]byte, (1+overflow)*pageBytes)
	if _, err := v.file.ReadAt(page, int64(number)*pageBytes); err != nil {
		return nil, corruptf("page %d can't be read", number)
	}
	return page, nil
}

func pageKind(page []byte) uint16  { return littleEndian.Uint16(page[8:]) }
func pageCount(page []byte) uint16 { return littleEndian.Uint16(page[10:]) }

// freelist checks the list of free pages: they are in order, within the file and not in use.
func (v *pageVerifier) freelist(number uint64) error {
	page, err := v.read(number)
	if err != nil {
		return err
	}
	count, list := uint64(pageCount(page)), page[pageHeaderBytes:]
	if count == freelistCountOverflow {
		count, list = littleEndian.Uint64(list), list[8:]
	}
	if pageKind(page) != freelistPage || count > uint64(len(list)/8) {
		return corruptf("page %d is not a freelist", number)
	}
	last := uint64(lastMetaPage)
	for i := range count {
		free := littleEndian.Uint64(list[8*i:])
		if free <= last || free >= v.pages || v.used[free] {
			return corruptf("page %d is listed as free but is in use, out of order or out of range", free)
		}
		last = free
	}
	return nil
}

// tree checks a page and its children, whose keys must lie in [minKey, endKey); nil is no bound.
func (v *pageVerifier) tree(number uint64, depth int, minKey, endKey []byte) error {
	if depth > maxTreeDepth {
		return corruptf("page tree is too deep")
	}
	page, err := v.read(number)
	if err != nil {
		return err
	}
	return v.page(number, page, depth, minKey, endKey)
}

// page checks the elements of one page, which may also be an inline page inside another's element.
func (v *pageVerifier) page(number uint64, page []byte, depth int, minKey, endKey []byte) error {
	kind, count := pageKind(page), int(pageCount(page))
	known := kind == branchPage && count > 0 || kind == leafPage
	if !known || pageHeaderBytes+elementHeaderBytes*count > len(page) {
		return corruptf("page %d has an unknown kind or too many elements", number)
	}
	elements := make([]pageElement, count)
	for i := range elements {
		element, ok := readElement(page, kind, i)
		if !ok {
			return corruptf("an element of page %d extends beyond the page", number)
		}
		repeated := i > 0 && bytes.Equal(element.key, minKey)
		if bytes.Compare(element.key, minKey) < 0 || repeated || endKey != nil && bytes.Compare(element.key, endKey) >= 0 {
			return corruptf("keys of page %d are out of order", number)
		}
		elements[i], minKey = element, element.key
	}
	for i, element := range elements {
		childEnd := endKey
		if i+1 < count {
			childEnd = elements[i+1].key
		}
		if err := v.element(number, kind, element, depth, childEnd); err != nil {
			return err
		}
	}
	return nil
}

// pageElement is an element of a branch page, which has a child, or of a leaf page, which has a value.
type pageElement struct {
	key, value []byte
	flags      uint32 // of a leaf element
	child      uint64 // of a branch element
}

// readElement reads the i-th element; it returns false if the element extends beyond the page.
func readElement(page []byte, kind uint16, i int) (pageElement, bool) {
	start := pageHeaderBytes + elementHeaderBytes*i
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

// element checks what an element refers to: a branch's child, whose keys must be below endKey, or a bucket, whose page
// may be inline.
func (v *pageVerifier) element(number uint64, kind uint16, element pageElement, depth int, endKey []byte) error {
	switch {
	case kind == branchPage:
		return v.tree(element.child, depth+1, element.key, endKey)
	case element.flags > bucketElement:
		return corruptf("an element of page %d has unknown flags", number)
	case element.flags == 0:
		return nil
	case len(element.value) < bucketHeaderBytes:
		return corruptf("a bucket in page %d is truncated", number)
	}
	if root := littleEndian.Uint64(element.value); root != 0 {
		return v.tree(root, depth+1, nil, nil)
	}
	if len(element.value) < bucketHeaderBytes+pageHeaderBytes {
		return corruptf("a bucket in page %d is truncated", number)
	}
	return v.page(number, element.value[bucketHeaderBytes:], depth+1, nil, nil)
}
