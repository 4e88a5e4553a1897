package finder

// maxWordBytes is the length of the longest word that Nearest compares.
const maxWordBytes = 64

// Nearest returns the candidate with the smallest edit distance to word, or ""
// if none is within maxEdits.
func Nearest(word string, candidates []string) string {
	if len(word) > maxWordBytes {
		return ""
	}
	best, least := "", maxEdits(len(word))+1
	for _, c := range candidates {
		if abs(len(c)-len(word)) >= least {
			continue
		}
		if d := levenshtein(word, c); d < least {
			best, least = c, d
		}
	}
	return best
}

// maxEdits returns the largest edit distance at which a candidate is suggested:
// 1 for words of up to 3 bytes, 2 for up to 8, and a third of the length for
// longer words.
func maxEdits(letters int) int {
	if letters < 4 {
		return 1
	}
	return max(2, letters/3)
}

// levenshtein returns the Levenshtein distance of two words, counted in bytes.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(corner+cost, row[j]+1, row[j+1]+1)
			corner, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
