package caller

import "strconv"

// quotedValue returns the value of a tag for the text of an error, which a zero byte ends.
func quotedValue(value string) string { return strconv.Quote(value) }
