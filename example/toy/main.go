// Command toy runs the servers and the discovery service of example/config.json, for trying out the balancer: two
// servers that accept every connection and echo each line, and a discovery service that lists them. It is not suitable
// for measurements.
package main

import (
	"bufio"
	"fmt"
	"log"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func main() {
	go listen("127.0.0.1:9101", server("toy-1"))
	go listen("127.0.0.1:9102", server("toy-2"))
	listen("127.0.0.1:8500", discovery)
}

func listen(addr string, serve func(net.Conn)) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	log.Println("listening on", addr)
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(c)
		}()
	}
}

// server answers probes with a load report, the first line of a request with UP, and echoes every later line.
func server(name string) func(net.Conn) {
	var open atomic.Int64
	return func(c net.Conn) {
		in := bufio.NewScanner(c)
		for in.Scan() && in.Text() == "STATS" {
			n := open.Load()
			fmt.Fprintf(c, "PONG inflight=%d,x0=%.3f\r\n", n, float64(n)/10)
		}
		if !strings.HasPrefix(in.Text(), "OPEN ") {
			return
		}
		log.Println(name, "took", in.Text())
		open.Add(1)
		defer open.Add(-1)
		fmt.Fprintf(c, "UP %s\r\n", name)
		for in.Scan() {
			fmt.Fprintf(c, "%s\r\n", in.Text())
		}
	}
}

// discovery answers a watch without any changes to the list in example/config.json.
func discovery(c net.Conn) {
	call, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	log.Println("discovery:", strings.TrimSpace(call))
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	body := `{"seq":0,"whole":false,"hosts":[]}` + "\n"
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body); err != nil {
			return
		}
		body = "\n"
		time.Sleep(2 * time.Second)
	}
}
