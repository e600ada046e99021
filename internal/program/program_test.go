package program

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a program that ends at SIGHUP. The signal makes it read the file again: an invalid file changes
// nothing, and a valid one takes effect, also if PROXY_DISCOVERY named another address at the start.
func TestReload(t *testing.T) {
	var calls [2]chan string // received by two discovery servers
	var addrs [2]string
	for i := range calls {
		l, err := net.Listen("tcp", "127.8.1.2:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		calls[i], addrs[i] = make(chan string, 99), l.Addr().String()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					line, _ := bufio.NewReader(c).ReadString('\n')
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n\n")
					calls[i] <- line
				}()
			}
		}()
	}
	body, err := os.ReadFile("../proxy/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	s := serve{
		source:    source{Config: filepath.Join(t.TempDir(), "config.json"), Discovery: addrs[0]},
		LogLevel:  "info",
		LogFormat: "text",
	}
	write := func(discovery string) {
		text := strings.NewReplacer("$discovery", discovery, "$r1", "127.8.1.2:1", "$r2", "127.8.1.2:2").
			Replace(string(body))
		if err := os.WriteFile(s.Config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	waitForCall := func(i int) {
		t.Helper()
		select {
		case line := <-calls[i]:
			if !strings.HasPrefix(line, "GET /registry/instances?watch=1&from=7 ") {
				t.Fatal(line)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no call at discovery", i)
		}
	}
	write("127.8.1.2:3")
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	waitForCall(0) // the environment variable's address, not the file's
	write("nowhere")
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	select {
	case err := <-ended:
		t.Fatal("ended:", err)
	case <-calls[1]:
		t.Fatal("an invalid file caused a call")
	case <-time.After(300 * time.Millisecond):
	}
	write(addrs[1])
	_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	waitForCall(1)
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
