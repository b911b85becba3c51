package store

// span is the part of an era's history of which a cache knows all changes.
type span struct {
	// version is the version of the table, and from the earliest one from which on all
	// changes are known.
	version, from Version
	// A row that was written and deleted between gapFrom and gapTo is not known: the
	// table was read as a whole at gapTo.
	gapFrom, gapTo Version
}

// has reports whether all changes after v are known.
func (s span) has(v Version) bool {
	return v.Era == s.version.Era && !v.Before(s.from) && !(s.gapFrom.Before(v) && v.Before(s.gapTo))
}

// extend records that the table is at a version, which was read as a whole if whole is
// set.
func (s *span) extend(v Version, whole bool) {
	if !s.version.Before(v) {
		return
	}
	if whole {
		if s.gapTo == (Version{}) {
			s.gapFrom = s.version
		}
		s.gapTo = v
	}
	s.version = v
}
