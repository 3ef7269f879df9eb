package native

import "savoryreel.example/savoryreel/instance"

// ChatRequest is the body of POST /v1/chat/completions at a model engine: the OpenAI
// format with the extensions Priority and Resume.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Priority  int       `json:"priority,omitempty"` // 0 is the most urgent
	Resume    *Resume   `json:"resume,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Resume makes an engine continue an answer that another engine started. The engine
// generates from the token with index len(Tokens) and does not repeat the given ones.
// ChatRequest.MaxTokens bounds the whole answer including the given tokens;
// Usage.Completion counts only the newly generated ones.
type Resume struct {
	Tokens []string `json:"tokens"`           // the answer's tokens so far
	Handle string   `json:"handle,omitempty"` // handle of an imported KV cache; empty: prefill prompt and tokens again
	// Version is the version that generated Tokens. An engine of another version must refuse the
	// request: what two versions write doesn't fit together.
	Version string `json:"version,omitempty"`
}

// ChatChunk is one SSE event of a streamed answer: "data: " and this as JSON.
// The stream ends with "data: [DONE]".
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"` // "chat.completion.chunk"
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"` // on the last chunk
}

// ChunkChoice carries one token of the answer.
type ChunkChoice struct {
	Index        int    `json:"index"`
	Delta        Delta  `json:"delta"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop" or "length" on the last chunk
}

// Delta is the text that a chunk adds. One chunk with content is one token.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatResponse is an answer that is not streamed.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"` // "chat.completion"
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the generated message of a ChatResponse.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Usage counts tokens. Cached counts the prompt tokens found in the prefix cache,
// Recomputed the tokens prefilled again because of a resume.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Cached     int `json:"cached_tokens,omitempty"`
	Recomputed int `json:"recomputed_tokens,omitempty"`
}

// OrderKind is the kind of an order to a backend server.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderRole        OrderKind = "role"
	OrderLeave       OrderKind = "leave"
)

// Order is the body of POST /v1/orders at a backend server. Fence is the fencing
// number of the sender and never decreases. A server that checks it answers 409 if it
// has seen a higher one.
type Order struct {
	Fence   uint64    `json:"fence,string"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// ExportReply is the reply of POST /v1/kv/export?request=ID: the handle under which the
// engine holds the KV cache of a running or just cancelled request.
type ExportReply struct {
	Handle string `json:"handle"`
	Bytes  int64  `json:"bytes"`
	Tokens int    `json:"tokens"`
}

// ImportRequest is the body of POST /v1/kv/import, which fetches the KV cache Handle
// from the engine at From. The reply is an ExportReply with the local handle.
type ImportRequest struct {
	From   string `json:"from"` // host:port
	Handle string `json:"handle"`
}

// CacheEventBatch is the body of POST /v1/backend-servers/{id}/cache-events at
// an entry.
type CacheEventBatch struct {
	Incarnation uint64                `json:"incarnation"`
	Events      []instance.CacheEvent `json:"events"`
}

// CacheListing is the reply of GET /v1/cache at an engine: all entries of its prefix
// cache as of the event numbered Sequence.
type CacheListing struct {
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Entries     []CacheEntry `json:"entries"`
}

// CacheEntry is one prefix in an engine's cache.
type CacheEntry struct {
	Prefix uint64 `json:"prefix,string"` // see PrefixHashes
	Tokens int    `json:"tokens"`        // tokens of the prefix's last message
}

// Problem is the body of an error reply of an engine, the cloud API or the weight
// store.
type Problem struct {
	Code   string `json:"code"` // stable, for programs
	Detail string `json:"detail,omitempty"`
}
