package operator

// maxDistance is how many edits away a name may be to be suggested.
const maxDistance = 3

// nearest returns the known name closest to name, or "" if none is close.
func nearest(name string, known []string) string {
	best, bestDistance := "", maxDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance between a and b.
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
