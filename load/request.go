package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"savoryreel.example/savoryreel/native"
)

func (p Part) path() string {
	if p.Kind == Chat {
		return native.PathChat
	}
	return pathPlainCalls + p.Service + "/" + strings.TrimPrefix(p.Path, "/")
}

func (p Part) method() string {
	if p.Kind == Chat {
		return http.MethodPost
	}
	return p.Method
}

func (c *caller) setHeaders(req *http.Request, p Part, a arrival) {
	if p.Kind == Chat {
		req.Header.Set("Content-Type", "application/json")
	}
	if p.Key != "" {
		req.Header.Set("Authorization", "Bearer "+p.Key)
	}
	if p.Deadline > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.Once {
		req.Header.Set(headerKey, fmt.Sprintf("load-%s-%s-%d", c.runID, p.Name, a.index))
	}
}

func requestBody(p Part, index int) ([]byte, error) {
	if p.Kind == Plain {
		return []byte(filler(index, p.BodyBytes)), nil
	}
	return json.Marshal(native.ChatRequest{
		Model:     p.Service,
		Messages:  messages(p, index),
		MaxTokens: p.MaxTokens,
		Stream:    true,
	})
}

// messages returns the prompt of a part's request with an index.
func messages(p Part, index int) []native.Message {
	var list []native.Message
	if p.PrefixBytes > 0 {
		list = append(list, native.Message{
			Role:    "system",
			Content: p.Name + " " + filler(index%p.Prefixes, p.PrefixBytes),
		})
	}
	text := p.Name + " request " + strconv.Itoa(index) + " " + filler(index, p.PromptBytes)
	return append(list, native.Message{Role: "user", Content: text})
}

// filler returns n bytes of text that begins differently for each index.
func filler(index, n int) string {
	unit := "station " + strconv.Itoa(index) + " "
	return strings.Repeat(unit, n/len(unit)+1)[:n]
}
