package front

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// maxLoggedText is the maximum length of a text in a log line, in bytes. Callers choose
// some of them, and the log has a maximum rate.
const maxLoggedText = 1 << 10

// shortText returns a text as it is logged.
func shortText(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return text[:maxLoggedText] + "..."
}

// shortCore is a Core that shortens long texts in fields.
type shortCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c *shortCore) With(fields []zapcore.Field) zapcore.Core {
	return &shortCore{c.Core.With(shortFields(fields))}
}

// Check implements zapcore.Core.
func (c *shortCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *shortCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, shortFields(fields))
}

// shortFields returns the fields with short texts. It copies them only if one is long.
func shortFields(fields []zapcore.Field) []zapcore.Field {
	isLong := func(f zapcore.Field) bool {
		return f.Type == zapcore.StringType && len(f.String) > maxLoggedText
	}
	if !slices.ContainsFunc(fields, isLong) {
		return fields
	}
	short := slices.Clone(fields)
	for i := range short {
		if isLong(short[i]) {
			short[i].String = shortText(short[i].String)
		}
	}
	return short
}
