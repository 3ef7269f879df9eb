package native_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryreel.example/savoryreel/internal/fake"
	"savoryreel.example/savoryreel/native"
)

// BenchmarkChat measures a streamed answer of 64 tokens over loopback, including the
// fake engine.
func BenchmarkChat(b *testing.B) {
	const tokens = 64
	engine := fake.NewEngine(fake.EngineConfig{Model: "m"}, fake.Deps{})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := native.NewEngine(native.EngineConfig{})
	defer client.Close()
	req := native.ChatRequest{
		Model:     "m",
		Messages:  []native.Message{{Role: "user", Content: "pollen?"}},
		MaxTokens: tokens,
	}
	b.ReportAllocs()
	for b.Loop() {
		stream, err := client.Chat(context.Background(), server.Listener.Addr().String(), "r", req)
		require.NoError(b, err)
		require.Equal(b, tokens, readAll(b, stream))
		require.NoError(b, stream.Close())
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}

func readAll(b *testing.B, stream *native.ChatStream) int {
	b.Helper()
	n := 0
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return n
		}
		require.NoError(b, err)
		if chunk.Choices[0].Delta.Content != "" {
			n++
		}
	}
}
