package scheme

import (
	"slices"
	"strings"
)

// hostRoutes holds the routes of one host name.
type hostRoutes struct {
	// routes are in descending order of the length of their prefixes.
	routes   []*Route
	byPrefix map[string]*Route
	// maxSlashes is the largest number of slashes in a prefix.
	maxSlashes int
}

func newHostRoutes() *hostRoutes { return &hostRoutes{byPrefix: map[string]*Route{}} }

// add adds a route whose prefix begins and ends with a slash. If another route
// has the same prefix, it returns that one and false.
func (h *hostRoutes) add(r *Route) (*Route, bool) {
	if other, ok := h.byPrefix[r.prefix]; ok {
		return other, false
	}
	h.byPrefix[r.prefix] = r
	h.routes = append(h.routes, r)
	h.maxSlashes = max(h.maxSlashes, strings.Count(r.prefix, "/"))
	return r, true
}

// sort sorts the routes once all have been added.
func (h *hostRoutes) sort() {
	slices.SortStableFunc(h.routes, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
}

// match returns the route with the longest prefix of the path. Only the parts
// of the path that end with a slash can be a prefix, and no more of them than
// the longest prefix has.
func (h *hostRoutes) match(path string) (*Route, bool) {
	var longest *Route
	end := 0
	for range h.maxSlashes {
		i := strings.IndexByte(path[end:], '/')
		if i < 0 {
			break
		}
		end += i + 1
		if r, ok := h.byPrefix[path[:end]]; ok {
			longest = r
		}
	}
	return longest, longest != nil
}
