package native

// Paths of the protocols in this package. Those with a trailing slash take an
// id or name after it.
const (
	PathChat     = "/v1/chat/completions"
	PathRequests = "/v1/requests/" // DELETE: cancel
	PathKVExport = "/v1/kv/export" // ?request=ID
	PathKVImport = "/v1/kv/import"
	PathKVFetch  = "/v1/kv/handles/" // GET, engine to engine
	PathCache    = "/v1/cache"
	PathOrders   = "/v1/orders"
	PathHealth   = "/healthz"

	PathAnnounce    = "/v1/backend-servers" // at an entry
	PathCacheEvents = "/cache-events"       // at an entry, after PathAnnounce + "/" + id
)
