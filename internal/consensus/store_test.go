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

// filled is a folder with a founding, a snapshot and entries, and what it says.
func filled(t *testing.T) (folder string, want string) {
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
	put := func(from, to, term uint64) {
		var list []*pb.Entry
		for i := from; i <= to; i++ {
			list = append(list, &pb.Entry{Index: new(i), Term: new(term), Data: []byte(strings.Repeat(fmt.Sprint(i, " "), 40))})
		}
		check(s.writeMessage(&pb.Message{Term: new(term), Vote: new(uint64(7)), Commit: new(from), Entries: list}))
	}
	put(2, 60, 2)
	put(50, 90, 3) // entries 50 to 60 are replaced
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
	want = told(t, s)
	s.close()
	return folder, want
}

// told is all that a folder says.
func told(t *testing.T, s *store) string {
	t.Helper()
	var b strings.Builder
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	hard, conf, _ := s.InitialState()
	snap, err := s.Snapshot()
	if err != nil {
		return err.Error()
	}
	fmt.Fprint(&b, s.header, first, last, hard, conf, string(snap.GetData()), s.entryBytes)
	list, err := s.Entries(first, last+1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range list {
		fmt.Fprint(&b, e.GetIndex(), e.GetTerm(), string(e.GetData()))
	}
	return b.String()
}

func TestFolderSaysTheSame(t *testing.T) {
	folder, want := filled(t)
	s, err := openStore(folder, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if got := told(t, s); got != want {
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

// TestDamage changes a byte here and there, cuts the file off, and puts pages of an earlier time in: whatever is
// taken is what was written, the rest is refused in one line, and the file stays as it is.
func TestDamage(t *testing.T) {
	folder, want := filled(t)
	d := &damage{t: t, folder: folder, path: filepath.Join(folder, fileName)}
	whole := d.read()
	later := d.writeMore()
	after := d.read()
	r := rand.New(rand.NewPCG(1, 2))
	for range 250 {
		file := append([]byte(nil), whole...)
		at, bit := r.IntN(len(file)), byte(1<<r.IntN(8))
		file[at] ^= bit
		d.try(fmt.Sprintf("byte %d", at), file, want)
	}
	for range 20 {
		n := r.IntN(len(whole))
		d.try(fmt.Sprintf("cut off at %d", n), whole[:n], want) // there may be room behind its end
	}
	for p := 0; p < len(whole)/pageBytes; p++ { // a page that was written and got lost
		file := append([]byte(nil), after...)
		copy(file[p*pageBytes:(p+1)*pageBytes], whole[p*pageBytes:])
		may := []string{later}
		if p < 2 {
			may = append(may, want) // the head of before: its pages still stand, and nobody can tell
		}
		d.try(fmt.Sprintf("page %d of before", p), file, may...)
	}
	if d.refused < 40 || d.taken < 10 {
		t.Fatalf("%d refused, %d taken", d.refused, d.taken)
	}
}

// damage tries damaged files in a folder's place.
type damage struct {
	t              *testing.T
	folder, path   string
	refused, taken int
}

func (d *damage) read() []byte {
	d.t.Helper()
	body, err := os.ReadFile(d.path)
	if err != nil {
		d.t.Fatal(err)
	}
	return body
}

// writeMore appends entries to the folder, and returns what it says then.
func (d *damage) writeMore() string {
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
	return told(d.t, s)
}

// try opens a file, which has to say one of what it may, or be refused in one line and left as it is.
func (d *damage) try(what string, file []byte, may ...string) {
	d.t.Helper()
	if err := os.WriteFile(d.path, file, 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := openStore(d.folder, "c", "m", nil)
	if err == nil {
		got := told(d.t, s)
		s.close()
		for _, w := range may {
			if d.taken++; got == w {
				return
			}
		}
		d.t.Fatalf("%s: taken as %.200s", what, got)
	}
	d.refused++
	var corrupt *CorruptFolder
	var foreign *ForeignFolder
	typed := errors.As(err, &corrupt) || errors.As(err, &foreign)
	if !typed || strings.Contains(err.Error(), "\n") || hint.Of(err) == "" {
		d.t.Fatalf("%s: %v", what, err)
	}
	if now, _ := os.ReadFile(d.path); !bytes.Equal(now, file) {
		d.t.Fatalf("%s: the file has been changed", what)
	}
}

func TestForeignFolders(t *testing.T) {
	folder, _ := filled(t)
	var foreign *ForeignFolder
	for _, x := range [][2]string{{"other", "m"}, {"c", "other"}} {
		if _, err := openStore(folder, x[0], x[1], nil); !errors.As(err, &foreign) || hint.Of(err) == "" {
			t.Fatal(err)
		}
	}
	if err := os.Chmod(filepath.Join(folder, fileName), 0o666); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(folder, "c", "m", nil); !errors.As(err, &foreign) {
		t.Fatal(err)
	}
	full := t.TempDir()
	if err := os.WriteFile(filepath.Join(full, "letters"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := openStore(full, "c", "m", nil); !errors.As(err, &foreign) {
		t.Fatal(err)
	}
	if list, _ := os.ReadDir(full); len(list) != 1 {
		t.Fatal(list)
	}
	half := t.TempDir() // its making was cut off: begun anew
	if err := os.WriteFile(filepath.Join(half, fileName+".new"), make([]byte, 5000), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := openStore(half, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.close()
}
