package fake

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"savoryreel.example/savoryreel/native"
)

// bytesPerToken is the number of prompt bytes that count as one token.
const bytesPerToken = 4

// Answer returns the first n tokens with which every Engine answers the prompt.
// Token i is a pure function of (model, messages, i), and the tokens of two
// prompts differ at nearly every position. Comparing a caller's text with the
// joined tokens therefore detects missing tokens, duplicates and tokens of
// another request.
func Answer(model string, messages []native.Message, n int) []string {
	seed := answerSeed(model, messages)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = answerToken(seed, i)
	}
	return tokens
}

func answerSeed(model string, messages []native.Message) uint64 {
	seed := xxhash.Sum64String(model)
	for _, m := range messages {
		seed = native.NextPrefixHash(seed, m)
	}
	return seed
}

// answerToken mixes seed and i by splitmix64 (Steele, Lea, Flood 2014).
func answerToken(seed uint64, i int) string {
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return " " + strconv.FormatUint(z>>40, 36)
}

// PromptTokens returns the number of tokens that an Engine counts in messages.
func PromptTokens(messages []native.Message) int {
	total := 0
	for _, m := range messages {
		total += messageTokens(m)
	}
	return total
}

// messageTokens counts one token for the role plus the content's length in
// tokens, rounded up.
func messageTokens(m native.Message) int {
	return 1 + (len(m.Content)+bytesPerToken-1)/bytesPerToken
}
