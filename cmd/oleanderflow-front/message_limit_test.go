package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderflow/oleanderflow/platform/standin"
)

// maxMessage is the limit of a message of the wire, without its line end.
const maxMessage = 1 << 20

// wireSession is a session whose messages are sent as they are.
type wireSession struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func openWire(t *testing.T, address, database string) *wireSession {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	s := &wireSession{t: t, conn: conn, reader: bufio.NewReader(conn)}
	require.Equal(t, []string{"READY I -"}, s.exchange("CONNECT "+database+" "+standin.CallerKey))
	return s
}

// exchange sends a message and returns the messages of the answer. Their texts must have
// no LF.
func (s *wireSession) exchange(message string) []string {
	_, err := s.conn.Write([]byte(message + "\r\n"))
	require.NoError(s.t, err)
	var answer []string
	for {
		line, err := s.reader.ReadString('\n')
		require.NoError(s.t, err)
		answer = append(answer, strings.TrimSuffix(line, "\r\n"))
		if strings.HasPrefix(line, "READY ") {
			return answer
		}
	}
}

// fill returns the message with its last field filled up to a size.
func fill(message string, size int) string { return message + strings.Repeat("x", size-len(message)) }

// A caller whose message was too long got a reset connection in place of the answer, since
// the rest of the message had not been read.
func TestTooLongMessageIsAnswered(t *testing.T) {
	f := startSystem(t, 1, 64, 0).fronts[0]
	openSession(t, f, "fills")
	for _, size := range []int{maxMessage + 1, maxMessage + 100_000, 2*maxMessage - 1} {
		for range 5 {
			s := openWire(t, f.Address(), "fills")
			_, err := s.conn.Write([]byte(fill("QUERY w1 WRITE a ", size) + "\r\n"))
			require.NoError(t, err)
			content, err := io.ReadAll(s.reader)
			require.NoError(t, err, size)
			require.Regexp(t, "^ERROR MALFORMED [^\r\n]*\r\n$", string(content))
		}
	}
}

// A transaction with half a message was open without a limit. It is rolled back, and the rest of
// the message still belongs to it.
func TestTransactionWithHalfAMessageIsRolledBack(t *testing.T) {
	system := startSystem(t, 1, 64, 0)
	f := system.fronts[0]
	queryUntilSuccess(t, openSession(t, f, "fills"), "WRITE a before")
	s := openWire(t, f.Address(), "fills")
	require.Equal(t, "COMPLETE -", s.exchange("QUERY b1 BEGIN")[0])
	require.Contains(t, s.exchange("QUERY w1 WRITE a lost")[0], "COMPLETE sig")
	_, err := s.conn.Write([]byte("QUERY w2 WRITE b "))
	require.NoError(t, err)
	time.Sleep(3 * transactionIdleMillis * time.Millisecond)
	answer := s.exchange("data")
	require.Contains(t, answer[0], "ERROR MALFORMED ")
	require.Equal(t, "READY E -", answer[1])
	require.Contains(t, s.exchange("QUERY c1 COMMIT")[0], "ERROR ABORTED ")
	require.Equal(t, "ROW before", s.exchange("QUERY r1 READ a")[0])
	for _, a := range system.group.Arrivals() {
		require.NotContains(t, []string{"w2", "c1"}, a.ID)
	}
}

// A request that was half read at SIGTERM got no answer.
func TestStopAnswersAHalfReadRequest(t *testing.T) {
	f := startSystem(t, 1, 64, 0).fronts[0]
	queryUntilSuccess(t, openSession(t, f, "fills"), "WRITE a v")
	idle, s := openSession(t, f, "fills"), openWire(t, f.Address(), "fills")
	_, err := s.conn.Write([]byte("QUERY r1 RE"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	go f.Stop()
	require.True(t, idle.AwaitClose(10*time.Second))
	require.Equal(t, "ROW v", s.exchange("AD a")[0])
	_, err = s.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Requests that a caller had sent ahead got no answer when the proxy stopped.
func TestStopAnswersRequestsSentAhead(t *testing.T) {
	f := startSystem(t, 1, 64, 0).fronts[0]
	queryUntilSuccess(t, openSession(t, f, "fills"), "WRITE a v")
	const ahead = 8
	results := make(chan int, 8)
	for range cap(results) {
		s := openWire(t, f.Address(), "fills")
		go func() {
			for {
				if _, err := s.conn.Write([]byte(strings.Repeat("QUERY "+fill("q", 60)+" READ a\r\n", ahead))); err != nil {
					results <- 0
					return
				}
				for ready := 0; ready < ahead; {
					line, err := s.reader.ReadString('\n')
					if err != nil {
						results <- ready
						return
					}
					if strings.HasPrefix(line, "READY ") {
						ready++
					}
				}
			}
		}()
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Stop()
	}()
	for range cap(results) {
		require.Zero(t, <-results, "a session was closed between the answers to requests that had arrived at once")
	}
	<-stopped
}

// A message of 1 MiB is served as others are, also by way of another process, and where the
// proxy adds a position or a name to it. No database is sent a longer one.
func TestLargestMessages(t *testing.T) {
	for name, connections := range map[string]int{"direct": 64, "homes": 6} {
		t.Run(name, func(t *testing.T) {
			system := startSystem(t, 5, connections, 0)
			for _, f := range system.fronts {
				c := openSession(t, f, "fills")
				queryUntilSuccess(t, c, "WRITE small data")
				s := openWire(t, f.Address(), "fills")
				write := fill("QUERY w1 WRITE large ", maxMessage)
				answer := s.exchange(write)
				require.Equal(t, "COMPLETE", strings.SplitN(answer[0], " ", 2)[0], "%.200q", answer)
				answer = s.exchange("QUERY r1 READ large")
				require.Len(t, answer, 3)
				require.True(t, answer[0] == "ROW "+strings.TrimPrefix(write, "QUERY w1 WRITE large "), "the data has changed")

				require.Equal(t, "COMPLETE -", s.exchange("QUERY p1 PREPARE s WRITE shape")[0])
				execute := fill("QUERY e1 EXECUTE s item ", maxMessage)
				answer = s.exchange(execute)
				require.Contains(t, answer[0], "COMPLETE sig", "%.200q", answer)
				require.True(t, strings.HasPrefix(answer[1], "READY I "), "%q", answer[1])
				answer = s.exchange("QUERY r4 READ item")
				require.True(t, answer[0] == "ROW "+strings.TrimPrefix(execute, "QUERY e1 EXECUTE s item "), "the data has changed")
				require.Contains(t, s.exchange("QUERY e2 EXECUTE s item data")[0], "COMPLETE sig")
				require.Contains(t, s.exchange(fill("QUERY e3 EXECUTE t item ", maxMessage))[0], "ERROR UNPREPARED ")

				for _, database := range []string{"bookings", "invoices"} {
					floored := openWire(t, f.Address(), database)
					key := fill("", maxMessage-len("QUERY r2 READ "))
					require.Contains(t, floored.exchange(fill("QUERY w2 WRITE small "+f.Address(), maxMessage))[0], "COMPLETE sig")
					answer = floored.exchange("QUERY r2 READ " + key)
					require.Contains(t, strings.Join(answer, "|"), "COMPLETE sig", "%.200q", answer)
					require.Contains(t, strings.Join(floored.exchange("QUERY r3 READ small"), "|"), "COMPLETE sig")
					require.Equal(t, []string{"COMPLETE -", "READY T -"}, floored.exchange("QUERY "+fill("", maxMessage-len("QUERY  BEGIN READ"))+" BEGIN READ"))
					require.Contains(t, strings.Join(floored.exchange("QUERY r5 READ small"), "|"), "COMPLETE sig")
					require.Contains(t, floored.exchange("QUERY c1 COMMIT")[0], "COMPLETE sig")
				}
			}
			for _, a := range system.group.Arrivals() {
				require.False(t, a.ID == "e3" && a.Ran, "a name that was not prepared has run")
				require.LessOrEqual(t, len("QUERY  ")+len(a.ID)+len(a.Text), maxMessage)
				if a.ID == "r2" {
					require.Equal(t, "shop-a", a.Database, "a read without its position was sent to a replica")
				}
			}
		})
	}
}
