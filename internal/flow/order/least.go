package order

import "slices"

// sortLeast puts the n least entries first, in their order. Under overload many times more steps wait than a plan serves, and sorting
// all of them would take much of its time.
func sortLeast(entries []entry, n int, compare ranking) {
	low, high := 0, len(entries)
	for high-low > n/2 && low < n && n < high {
		middle := partition(entries[low:high], compare) + low
		if middle <= n {
			low = middle + 1
		}
		if middle >= n {
			high = middle
		}
	}
	if low >= n {
		high = n
	}
	slices.SortFunc(entries[:high], compare)
}

// partition moves an entry, the median of three, to the index that it returns, with the lesser ones before and the others behind it.
func partition(entries []entry, compare ranking) int {
	last := len(entries) - 1
	swap := func(i, j int) { entries[i], entries[j] = entries[j], entries[i] }
	for _, pair := range [][2]int{{0, last / 2}, {0, last}, {last / 2, last}} {
		if compare(entries[pair[1]], entries[pair[0]]) < 0 {
			swap(pair[0], pair[1])
		}
	}
	swap(last/2, last)
	next := 0
	for i := range last {
		if compare(entries[i], entries[last]) < 0 {
			swap(i, next)
			next++
		}
	}
	swap(next, last)
	return next
}
