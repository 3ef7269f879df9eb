package request

import (
	"net/http"
	"strings"
)

// BearerKey returns the key in an "Authorization: Bearer" header and whether the
// header is present.
func BearerKey(h http.Header) (string, bool) {
	scheme, key, found := strings.Cut(h.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(key), true
}
