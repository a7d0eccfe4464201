package rig_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"caperrelay/internal/rig"
	promisev1 "caperrelay/proto/winglb/promise/v1"
)

// frameSize is the size of the largest frame that a server takes by default.
const frameSize = 16 << 10

// halfCalls opens calls on a connection, and sends on each all of a message but its end, as far as the server lets it.
func halfCalls(method string, calls, size int) hostile {
	return func(ctx context.Context, _ int, c net.Conn) error {
		if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(c, c)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		frames := make(chan http2.Frame)
		go readFrames(framer, frames)
		var head bytes.Buffer
		encoder := hpack.NewEncoder(&head)
		message := binary.BigEndian.AppendUint32([]byte{0}, uint32(size))
		connection := 65_535
		for n := range calls {
			head.Reset()
			for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", "d"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
				if err := encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
					return err
				}
			}
			id := uint32(2*n + 1)
			if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
				return err
			}
			data, stream := append(bytes.Clone(message), make([]byte, size-1)...), 65_535
			for len(data) > 0 {
				if sent := min(len(data), frameSize, connection, stream); sent > 0 {
					if err := framer.WriteData(id, false, data[:sent]); err != nil {
						return err
					}
					data, connection, stream = data[sent:], connection-sent, stream-sent
					continue
				}
				select {
				case f, ok := <-frames:
					if !ok {
						return io.EOF
					}
					if f, ok := f.(*http2.WindowUpdateFrame); ok && f.StreamID == 0 {
						connection += int(f.Increment)
					} else if ok && f.StreamID == id {
						stream += int(f.Increment)
					}
				case <-time.After(100 * time.Millisecond): // the server has ended this call
					data = nil
				case <-ctx.Done():
					return nil
				}
			}
		}
		for range frames {
		}
		return nil
	}
}

// readFrames reads a connection's frames until it ends.
func readFrames(framer *http2.Framer, frames chan<- http2.Frame) {
	defer close(frames)
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if w, ok := f.(*http2.WindowUpdateFrame); ok {
			f = &http2.WindowUpdateFrame{FrameHeader: w.FrameHeader, Increment: w.Increment} // the framer uses its own again
		}
		frames <- f
	}
}

// TestMemoryOfHalfCallsStaysWithinTheLimit guards against clients of the control listener that stop half way through large
// messages on many calls making the daemon hold all of these.
func TestMemoryOfHalfCallsStaysWithinTheLimit(t *testing.T) {
	w := founded(t, 3, time.Millisecond, func(o *rig.Options) { o.Lean, o.Promises = false, true })
	w.start(0, 3)
	w.told(3)
	w.serves(0, 3)
	ctx, end := context.WithTimeout(t.Context(), hostileDuration)
	defer end()
	attack(ctx, 30, w.Daemon(0).Control, halfCalls(promisev1.Promises_Promise_FullMethodName, 200, 1<<20-100)).Wait()
	peak := peakMemory(t, w.Daemon(0).Pid())
	t.Logf("peak %d MB", peak>>20)
	require.Less(t, peak, int64(memoryLimit))
	w.serves(0, 1)
}
