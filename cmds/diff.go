package cmds

import (
	"strings"
)

// diffLines returns the lines that differ between two texts, marked with "-" for
// the first text and "+" for the second. It computes the longest common
// subsequence of lines in quadratic time and space, which is fast enough for
// documents.
func diffLines(first, second string) string {
	a, b := splitLines(first), splitLines(second)
	common := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// lcsLengths returns a table whose element [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	out := make([][]int, len(a)+1)
	for i := range out {
		out[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				out[i][j] = out[i+1][j+1] + 1
			} else {
				out[i][j] = max(out[i+1][j], out[i][j+1])
			}
		}
	}
	return out
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
