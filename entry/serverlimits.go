package entry

import (
	"savoryreel.example/savoryreel/native"
	"savoryreel.example/savoryreel/policy/throttle"
)

// limitedServer returns the server that g grants, as package throttle names it.
func (g *grant) limitedServer() throttle.Server { return throttle.Server(g.server()) }

// heedAnswer applies what the answer to an attempt says about its server. Only an answer with which
// the server has served the request ends a limit.
func (ls *lanes) heedAnswer(g *grant, n native.AnswerNotice, served bool) {
	ls.heed(g.server(), n)
	switch {
	case n.Limited:
		ls.limits.Named(g.limitedServer(), n.Limit)
	case served:
		ls.limits.NotNamed(g.limitedServer(), g.sentAt)
	}
}
