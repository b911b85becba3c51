package front

import (
	"fmt"

	"github.com/oleanderflow/oleanderflow/internal/connection/session"
)

// refusal returns in one sentence why a line's request was refused because of its
// workspace, or an empty string if the line is not about that.
func (l *logLine) refusal() string {
	who := fmt.Sprintf("%s of workspace %s at %s", l.printed("request"), orUnknown(l.printed("workspace")), l.printed("instance"))
	if l.field("request") == "" {
		who = fmt.Sprintf("the start of session %v at %s", l.printed("session"), l.printed("instance"))
	}
	switch l.field("reason") {
	case session.ReasonLimit.String():
		return who + ": limit: " + l.limitRefusal()
	case session.ReasonKey.String():
		if holder := l.printed("holder"); holder != "" {
			return fmt.Sprintf("%s: key: workspace %s holds key %s in configuration %v, and did not when the transaction began", who, holder, l.printed("keyId"), l.printed("version"))
		}
		if l.field("keyId") == "" {
			return fmt.Sprintf("%s: key: the caller sent none, and route %s is not public", who, l.printed("route"))
		}
		return fmt.Sprintf("%s: key: no workspace holds key %s in configuration %v", who, l.printed("keyId"), l.printed("version"))
	case session.ReasonProof.String():
		return fmt.Sprintf("%s: old proof: configuration %v was not confirmed for %s, %s is the most that is allowed", who, l.printed("version"), l.printed("proofAge"), l.printed("proofLimit"))
	case session.ReasonCapacity.String():
		text := who + ": capacity: " + l.printed("cause")
		if l.field("database") != "" {
			text += fmt.Sprintf(" (database %s: %v of %v connections open, %v requests waiting for one)", l.printed("database"), l.printed("count"), l.printed("limit"), l.printed("waiting"))
		}
		return text
	default:
		return ""
	}
}

func (l *logLine) limitRefusal() string {
	age := l.printed("shareAge")
	if silent, _ := l.fields["accountantSilent"].(bool); !silent {
		return fmt.Sprintf("this proxy ran %v operations in the last second, %v a second are allowed over all proxies; share is %s old, retry after %s", l.printed("count"), l.printed("limit"), orUnknown(age), l.printed("retry"))
	}
	text := fmt.Sprintf("no accountant has answered for %s, and there is no reserve", orUnknown(age))
	if _, hosted := l.fields["session"].(string); hosted {
		text += " at this home; the proxy of the caller ran the request from its own, unless it has written that it failed"
	}
	return text
}

func orUnknown(text string) string {
	if text == "" {
		return "(unknown)"
	}
	return text
}
