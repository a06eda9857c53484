package relay

import (
	"net/http"
	"net/url"
	"strings"
)

// outboundURL returns the URL with which a request is sent on, so that the target
// gets the request target, byte for byte, that the caller has sent.
func outboundURL(r *http.Request) *url.URL {
	if strings.HasPrefix(r.RequestURI, "//") {
		// net/http takes an opaque URL with two slashes for one with an authority
		// and adds a scheme.
		return &url.URL{
			Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		}
	}
	return &url.URL{Opaque: r.RequestURI}
}
