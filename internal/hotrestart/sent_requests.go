package hotrestart

import (
	"encoding/binary"
	"os"

	"oatloft/internal/hint"
)

const (
	sentPerProcess   = 2048 // ids that a process's part of the file holds
	sentEntryBytes   = 8
	sentProcessBytes = sentPerProcess * sentEntryBytes
)

// SentRequests is a record of the requests that the processes of one balancer have sent to servers, as hashes of their
// ids, in a file that all of them have open. Each writes its own part, which holds its latest sentPerProcess requests.
// A process that takes over the part of one that has ended continues in it.
//
// A process adds a request before it looks whether another one has it. So if two processes get requests with one id at
// the same time, at least one of them sees the other's.
type SentRequests struct {
	file    *os.File
	process int
	added   int // by this process
	buffer  [maxProcesses * sentProcessBytes]byte
}

// SentRequests opens the record for a registered process. The error is *WriteFailed.
func (p *Presence) SentRequests() (*SentRequests, error) {
	f, err := os.OpenFile(p.dir.filePath("-sent.ids"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
	}
	return &SentRequests{file: f, process: p.number}, nil
}

// Add records that this process is about to send a request. The hash of its id must not be 0, which stands for none.
// The error is *WriteFailed.
func (s *SentRequests) Add(hash uint64) error {
	var entry [sentEntryBytes]byte
	binary.LittleEndian.PutUint64(entry[:], hash)
	offset := s.process*sentProcessBytes + s.added%sentPerProcess*sentEntryBytes
	if _, err := s.file.WriteAt(entry[:], int64(offset)); err != nil {
		return &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
	}
	s.added++
	return nil
}

// SentByOther reports whether another process, or one that has ended, has added a request.
func (s *SentRequests) SentByOther(hash uint64) bool {
	read, _ := s.file.ReadAt(s.buffer[:], 0) // io.EOF: the later parts are not in use yet
	for offset := 0; offset+sentEntryBytes <= read; offset += sentEntryBytes {
		if binary.LittleEndian.Uint64(s.buffer[offset:]) == hash && !s.isOwn(offset) {
			return true
		}
	}
	return false
}

// isOwn reports whether this process has written the entry at an offset of the file.
func (s *SentRequests) isOwn(offset int) bool {
	number := offset/sentEntryBytes - s.process*sentPerProcess
	return number >= 0 && number < min(s.added, sentPerProcess)
}

// Close closes the record. The file stays for other processes.
func (s *SentRequests) Close() { _ = s.file.Close() }
