package finder

// maxWord is the longest word, in bytes, for which a nearest one is sought.
const maxWord = 64

// Nearest returns the candidate that differs least from a word, or "" where
// none is near enough to have been meant. Near enough is one edit for every
// three letters, and at least one.
func Nearest(word string, candidates []string) string {
	if len(word) > maxWord {
		return ""
	}
	best, least := "", allowed(len(word))+1
	for _, c := range candidates {
		if abs(len(c)-len(word)) >= least {
			continue
		}
		if d := edits(word, c); d < least {
			best, least = c, d
		}
	}
	return best
}

func allowed(letters int) int {
	if letters < 4 {
		return 1
	}
	return max(2, letters/3)
}

// edits is the Levenshtein distance of two words in bytes.
func edits(a, b string) int {
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
