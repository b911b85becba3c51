//go:build review

package kit

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is a session of a client. Its query ids are OWNER/NUMBER.
type Client struct {
	Owner  string
	conn   net.Conn
	reader *bufio.Reader
	number int
}

// Reply is the answer to a query.
type Reply struct {
	Rows                    []string
	Signature, Error, State string
}

// Code returns the code of a failure, empty for success.
func (r Reply) Code() string {
	code, _, _ := strings.Cut(r.Error, " ")
	return code
}

const clientTimeout = 3 * time.Second

// Connect opens a session.
func Connect(address, database, owner string) (*Client, error) {
	c, err := net.DialTimeout("tcp4", address, clientTimeout)
	if err != nil {
		return nil, err
	}
	client := &Client{Owner: owner, conn: c, reader: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(c, "CONNECT %s caller\r\n", database); err != nil {
		return nil, err
	}
	reply, err := client.read()
	if err == nil && reply.Error != "" {
		err = errors.New(reply.Error)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return client, nil
}

// Query sends one query and waits for its answer.
func (c *Client) Query(text string) (Reply, error) {
	c.number++
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s/%d %s\r\n", c.Owner, c.number, text); err != nil {
		return Reply{}, err
	}
	return c.read()
}

// Send sends queries with one write, without waiting for their answers.
func (c *Client) Send(texts ...string) error {
	var b strings.Builder
	for _, text := range texts {
		c.number++
		fmt.Fprintf(&b, "QUERY %s/%d %s\r\n", c.Owner, c.number, text)
	}
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err := c.conn.Write([]byte(b.String()))
	return err
}

// Receive waits for the answer to the next query that has none.
func (c *Client) Receive() (Reply, error) { return c.read() }

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

func (c *Client) read() (Reply, error) {
	var r Reply
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "COMPLETE":
			r.Signature = rest
		case "ERROR":
			r.Error = rest
			if r.Code() == "NODATABASE" {
				return r, nil
			}
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
