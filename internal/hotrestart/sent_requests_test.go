package hotrestart

import "testing"

func newSentRequests(t *testing.T, dir string) (*Presence, *SentRequests) {
	t.Helper()
	p, err := Open(dir, "n1").Register()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	s, err := p.SentRequests()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return p, s
}

// A process sees the requests of the others and of those that have ended, not its own; each process's latest ones stay.
func TestSentRequests(t *testing.T) {
	dir := t.TempDir()
	expect := func(s *SentRequests, hash uint64, want bool) {
		t.Helper()
		if s.SentByOther(hash) != want {
			t.Errorf("request %d: want %v", hash, want)
		}
	}
	add := func(s *SentRequests, first, n uint64) {
		t.Helper()
		for hash := first; hash < first+n; hash++ {
			if err := s.Add(hash); err != nil {
				t.Fatal(err)
			}
		}
	}
	presence, first := newSentRequests(t, dir)
	_, second := newSentRequests(t, dir)
	add(first, 1000, sentPerProcess+10)
	add(second, 1, 2)
	expect(first, 1, true)
	expect(first, 1500, false)
	expect(second, 2, false)
	expect(second, 1009, false) // overwritten by the latest ones
	expect(second, 1010, true)
	expect(second, 1000+sentPerProcess+9, true)
	presence.Close()
	_, third := newSentRequests(t, dir) // in the first one's place
	add(third, 5000, 20)
	expect(third, 1000+sentPerProcess, false) // overwritten
	expect(third, 1000+sentPerProcess-1, true)
	expect(third, 5000, false)
	expect(second, 5019, true)
}
