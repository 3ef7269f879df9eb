package admit

import "savoryreel.example/savoryreel/contract"

// Amount is a quantity of each resource that contract.Limits bounds. Unlike
// there, zero means none, not unlimited.
type Amount struct {
	RequestsPerSecond float64 `msgpack:"rps" json:"requestsPerSecond"`
	Concurrency       int     `msgpack:"conc" json:"concurrency"` // requests queued or running
	TokensPerSecond   float64 `msgpack:"tps" json:"tokensPerSecond"`
}

func (a Amount) plus(b Amount) Amount {
	return Amount{
		RequestsPerSecond: a.RequestsPerSecond + b.RequestsPerSecond,
		Concurrency:       a.Concurrency + b.Concurrency,
		TokensPerSecond:   a.TokensPerSecond + b.TokensPerSecond,
	}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{
		RequestsPerSecond: a.RequestsPerSecond - b.RequestsPerSecond,
		Concurrency:       a.Concurrency - b.Concurrency,
		TokensPerSecond:   a.TokensPerSecond - b.TokensPerSecond,
	}
}

// larger returns the larger of a and b in each quantity.
func (a Amount) larger(b Amount) Amount {
	return Amount{
		RequestsPerSecond: max(a.RequestsPerSecond, b.RequestsPerSecond),
		Concurrency:       max(a.Concurrency, b.Concurrency),
		TokensPerSecond:   max(a.TokensPerSecond, b.TokensPerSecond),
	}
}

// smaller returns the smaller of a and b in each quantity.
func (a Amount) smaller(b Amount) Amount {
	return Amount{
		RequestsPerSecond: min(a.RequestsPerSecond, b.RequestsPerSecond),
		Concurrency:       min(a.Concurrency, b.Concurrency),
		TokensPerSecond:   min(a.TokensPerSecond, b.TokensPerSecond),
	}
}

// amountOf returns the whole limits, for all entries together, as an Amount.
func amountOf(l contract.Limits) Amount {
	return Amount{
		RequestsPerSecond: l.RequestsPerSecond,
		Concurrency:       l.Concurrency,
		TokensPerSecond:   l.TokensPerSecond,
	}
}

// hasLimit reports whether l limits any quantity.
func hasLimit(l contract.Limits) bool {
	return l.RequestsPerSecond > 0 || l.Concurrency > 0 || l.TokensPerSecond > 0
}
