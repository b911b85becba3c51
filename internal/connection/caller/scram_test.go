package caller

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"
)

// scramSteps authenticates with a password and returns the types of the
// messages that the proxy sends, its salt, and its error.
func scramSteps(t *testing.T, auth SCRAM, user string) (steps []string, salt string, err error) {
	client, server := net.Pipe()
	defer client.Close()
	s, err := newSession(server)
	require.NoError(t, err)
	s.frames.EndStartup()
	s.User = user
	done := make(chan error, 1)
	go func() {
		done <- authenticateSCRAM(s, auth)
		_ = server.Close()
	}()
	require.NoError(t, client.SetDeadline(time.Now().Add(10*time.Second)))
	frontend := pgproto3.NewFrontend(client, client)
	c, err := scram.SHA256.NewClient(user, "wrong", "")
	require.NoError(t, err)
	conversation := c.NewConversation()
	for {
		msg, receiveErr := frontend.Receive()
		if receiveErr != nil {
			return steps, salt, <-done
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationSASL:
			steps = append(steps, "start")
			first, stepErr := conversation.Step("")
			require.NoError(t, stepErr)
			frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			steps = append(steps, "continue")
			next, stepErr := conversation.Step(string(m.Data))
			require.NoError(t, stepErr)
			_, salt, _ = cutAround(string(m.Data), ",s=", ",i=")
			frontend.Send(&pgproto3.SASLResponse{Data: []byte(next)})
		}
		require.NoError(t, frontend.Flush())
	}
}

// cutAround returns the text before the first marker, between both, and after
// the second.
func cutAround(text, first, second string) (before, between, after string) {
	for i := range text {
		if len(text[i:]) < len(first) || text[i:i+len(first)] != first {
			continue
		}
		rest := text[i+len(first):]
		for j := range rest {
			if len(rest[j:]) >= len(second) && rest[j:j+len(second)] == second {
				return text[:i], rest[:j], rest[j+len(second):]
			}
		}
	}
	return text, "", ""
}

// An unknown user is refused in the same step as a wrong password, with a salt
// that does not change, so that nobody learns from it which users exist.
func TestUnknownUserIsRefusedLikeAWrongPassword(t *testing.T) {
	verifier, err := NewVerifier("tech", "secret")
	require.NoError(t, err)
	known, err := parseVerifier("tech", verifier)
	require.NoError(t, err)
	auth := SCRAM{Lookup: func(user string) (scram.StoredCredentials, error) {
		if user != "tech" {
			return scram.StoredCredentials{}, &UnknownUserError{User: user}
		}
		return known, nil
	}}
	knownSteps, knownSalt, knownErr := scramSteps(t, auth, "tech")
	unknownSteps, unknownSalt, unknownErr := scramSteps(t, auth, "nobody")
	require.Equal(t, []string{"start", "continue"}, knownSteps)
	require.Equal(t, knownSteps, unknownSteps)
	require.Len(t, unknownSalt, len(knownSalt))
	_, again, _ := scramSteps(t, auth, "nobody")
	require.Equal(t, unknownSalt, again)
	var refused *ProtocolError
	require.ErrorAs(t, knownErr, &refused)
	code := refused.Code
	require.ErrorAs(t, unknownErr, &refused)
	require.Equal(t, code, refused.Code)
}
