// Package logs provides log fields that are shared by all packages.
package logs

import "go.uber.org/zap"

// Error returns a field with the text of an error, without the stack trace that
// some errors carry. For a nil error the field is omitted.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
