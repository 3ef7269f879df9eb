package request

import (
	"net/http"
	"strings"
)

// BearerKey returns the key of an "Authorization: Bearer" header, and whether
// there was one.
func BearerKey(h http.Header) (string, bool) {
	scheme, key, found := strings.Cut(h.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(key), true
}
