package wire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"oatloft/policy"
)

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer on out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<20)} }

// Action appends one action of an instance to the reply.
func (w *Writer) Action(instance int, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		w.start("place", instance).text("id", a.ID).text("server", a.Server)
		if a.TimeoutAt > 0 {
			w.millis("until-ms", a.TimeoutAt)
		}
	case policy.Reject:
		w.start("decline", instance).text("id", a.ID)
		if a.RetryAfter > 0 {
			w.millis("come-back-ms", a.RetryAfter)
		}
	case policy.Fail:
		w.start("end_failed", instance).text("id", a.ID)
	case policy.Migrate:
		w.start("relocate", instance).text("id", a.ID)
	case policy.Probe:
		w.start("sample", instance).text("server", a.Server)
	case policy.Subscribe:
		w.start("subscribe", instance).text("want", "1")
	case policy.SetTimer:
		w.start("wake_me", instance).text("token", a.Token).millis("after-ms", a.After)
	default:
		return
	}
	w.end()
}

// Flush completes the reply and sends it.
func (w *Writer) Flush() error {
	if _, err := w.out.WriteString("next\n"); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) start(word string, instance int) *Writer {
	w.buf = append(append(w.buf[:0], word...), " balancer-id="...)
	w.buf = strconv.AppendInt(w.buf, int64(instance), 10)
	return w
}

func (w *Writer) text(name, value string) *Writer {
	w.buf = append(append(append(append(w.buf, ' '), name...), '='), value...)
	return w
}

func (w *Writer) millis(name string, d time.Duration) *Writer {
	w.text(name, "")
	w.buf = strconv.AppendFloat(w.buf, float64(d.Microseconds())/1000, 'f', -1, 64)
	return w
}

// end writes the line; the buffered writer keeps an error until Flush returns it.
func (w *Writer) end() {
	w.buf = append(w.buf, '\n')
	_, _ = w.out.Write(w.buf)
}
