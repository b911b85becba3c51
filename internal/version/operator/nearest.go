package operator

// maxDistance is the largest edit distance at which a known name is suggested
// for an unknown one.
const maxDistance = 3

// nearest returns the known name with the smallest edit distance to name, the
// first if several are equally near, or "" if all are more than maxDistance
// away.
func nearest(name string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b, counted in
// bytes. It keeps one row of the distance matrix.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
