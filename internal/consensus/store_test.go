package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"oatloft/internal/hint"
)

// fillFolder creates a folder with a bootstrap, a snapshot and entries, and returns it with its content.
func fillFolder(t *testing.T) (folder string, want string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "state")
	s, err := openStore(folder, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	check := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	check(s.recordBootstrap(newBootstrap("c", []member{{ID: s.header.ID, Name: "m"}, {ID: 7, Name: "n"}})))
	appendEntries := func(from, to, term uint64) {
		var list []*pb.Entry
		for i := from; i <= to; i++ {
			list = append(list, &pb.Entry{Index: new(i), Term: new(term), Data: []byte(strings.Repeat(fmt.Sprint(i, " "), 40))})
		}
		check(s.writeMessage(&pb.Message{Term: new(term), Vote: new(uint64(7)), Commit: new(from), Entries: list}))
	}
	appendEntries(2, 60, 2)
	appendEntries(50, 90, 3) // entries 50 to 60 are replaced
	check(
		s.compact(
			compaction{
				index:       40,
				term:        2,
				conf:        s.header.Conf.pb(),
				data:        packSnapshot(s.header.Bootstrap.Voters, []byte(strings.Repeat("state", 3000))),
				keepEntries: 10,
			},
		),
	)
	want = folderContents(t, s)
	s.close()
	return folder, want
}

// folderContents formats the whole content of a folder.
func folderContents(t *testing.T, s *store) string {
	t.Helper()
	var b strings.Builder
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	hard, conf, _ := s.InitialState()
	snapshot, err := s.Snapshot()
	if err != nil {
		return err.Error()
	}
	fmt.Fprint(&b, s.header, first, last, hard, conf, string(snapshot.GetData()), s.entryBytes)
	entries, err := s.Entries(first, last+1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		fmt.Fprint(&b, e.GetIndex(), e.GetTerm(), string(e.GetData()))
	}
	return b.String()
}

func TestReopenFolder(t *testing.T) {
	folder, want := fillFolder(t)
	s, err := openStore(folder, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if got := folderContents(t, s); got != want {
		t.Fatalf("got %.300s\nwant %.300s", got, want)
	}
	if s.header.Base != 30 || s.header.Last != 90 || s.header.SnapIndex != 40 ||
		s.entries[len(s.entries)-1].GetTerm() != 3 {
		t.Fatalf("%+v", s.header)
	}
	if _, err := openStore(folder, "c", "m", nil); !errors.Is(err, errLocked) {
		t.Fatal(err)
	}
}

// TestCorruptFolder flips bits, truncates the file and restores pages of an earlier state: a folder that is accepted
// must have the content that was written, and any other must be refused with a one-line error and left unmodified.
func TestCorruptFolder(t *testing.T) {
	folder, want := fillFolder(t)
	c := &corruption{t: t, folder: folder, path: filepath.Join(folder, fileName)}
	original := c.read()
	laterContents := c.appendEntries()
	laterFile := c.read()
	r := rand.New(rand.NewPCG(1, 2))
	for range 250 {
		file := append([]byte(nil), original...)
		offset, bit := r.IntN(len(file)), byte(1<<r.IntN(8))
		file[offset] ^= bit
		c.open(fmt.Sprintf("byte %d", offset), file, want)
	}
	for range 20 {
		n := r.IntN(len(original))
		c.open(fmt.Sprintf("truncated at %d", n), original[:n], want) // there may be unused space at its end
	}
	for page := 0; page < len(original)/pageBytes; page++ { // a lost write of one page
		file := append([]byte(nil), laterFile...)
		copy(file[page*pageBytes:(page+1)*pageBytes], original[page*pageBytes:])
		allowed := []string{laterContents}
		if page < 2 {
			allowed = append(allowed, want) // a previous meta page: its pages still exist, so this cannot be detected
		}
		c.open(fmt.Sprintf("earlier page %d", page), file, allowed...)
	}
	if c.refused < 40 || c.accepted < 10 {
		t.Fatalf("%d refused, %d accepted", c.refused, c.accepted)
	}
}

// corruption opens a folder with corrupted database files.
type corruption struct {
	t                 *testing.T
	folder, path      string
	refused, accepted int
}

func (d *corruption) read() []byte {
	d.t.Helper()
	body, err := os.ReadFile(d.path)
	if err != nil {
		d.t.Fatal(err)
	}
	return body
}

// appendEntries appends entries to the folder, and returns its new content.
func (d *corruption) appendEntries() string {
	d.t.Helper()
	s, err := openStore(d.folder, "c", "m", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	defer s.close()
	var list []*pb.Entry
	for i := uint64(91); i < 120; i++ {
		list = append(list, &pb.Entry{Index: new(i), Term: new(uint64(3)), Data: []byte("later")})
	}
	if err := s.writeMessage(&pb.Message{Entries: list}); err != nil {
		d.t.Fatal(err)
	}
	return folderContents(d.t, s)
}

// open opens the folder with the given database file. The file must have one of the allowed contents, or be refused
// with a one-line error and left unmodified.
func (d *corruption) open(description string, file []byte, allowed ...string) {
	d.t.Helper()
	if err := os.WriteFile(d.path, file, 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := openStore(d.folder, "c", "m", nil)
	if err == nil {
		got := folderContents(d.t, s)
		s.close()
		for _, w := range allowed {
			if d.accepted++; got == w {
				return
			}
		}
		d.t.Fatalf("%s: accepted with content %.200s", description, got)
	}
	d.refused++
	var corrupt *CorruptFolder
	var foreign *ForeignFolder
	expectedType := errors.As(err, &corrupt) || errors.As(err, &foreign)
	if !expectedType || strings.Contains(err.Error(), "\n") || hint.Of(err) == "" {
		d.t.Fatalf("%s: %v", description, err)
	}
	if after, _ := os.ReadFile(d.path); !bytes.Equal(after, file) {
		d.t.Fatalf("%s: the file was modified", description)
	}
}

func TestForeignFolders(t *testing.T) {
	folder, _ := fillFolder(t)
	var foreign *ForeignFolder
	for _, owner := range [][2]string{{"other", "m"}, {"c", "other"}} {
		if _, err := openStore(folder, owner[0], owner[1], nil); !errors.As(err, &foreign) || hint.Of(err) == "" {
			t.Fatal(err)
		}
	}
	if err := os.Chmod(filepath.Join(folder, fileName), 0o666); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(folder, "c", "m", nil); !errors.As(err, &foreign) {
		t.Fatal(err)
	}
	nonEmpty := t.TempDir()
	if err := os.WriteFile(filepath.Join(nonEmpty, "letters"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(nonEmpty, "c", "m", nil); !errors.As(err, &foreign) {
		t.Fatal(err)
	}
	if list, _ := os.ReadDir(nonEmpty); len(list) != 1 {
		t.Fatal(list)
	}
	incomplete := t.TempDir() // its creation was interrupted: it is created again
	if err := os.WriteFile(filepath.Join(incomplete, fileName+".new"), make([]byte, 5000), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := openStore(incomplete, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.close()
}
