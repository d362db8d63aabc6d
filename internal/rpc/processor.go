package rpc

import (
	"github.com/lesismal/nbio/nbhttp"

	"crosstide/internal/errs"
)

// limitedProcessor passes the parser's callbacks to nbhttp's own processor and lets an incoming request follow them.
type limitedProcessor struct {
	nbhttp.Processor
	incoming *incoming
	limits   func() Limits
}

// OnHeader implements nbhttp.Processor.
func (p *limitedProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Transfer-Encoding" { // the parser passes canonical names
		p.incoming.isChunked = true // the parser accepts no other encoding
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor.
func (p *limitedProcessor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.incoming.hasLength, p.incoming.declared = true, length
	p.Processor.OnContentLength(parser, length)
}

// OnBody implements nbhttp.Processor.
func (p *limitedProcessor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.incoming.body += int64(len(data))
	if limit := p.limits().BodyBytes; p.incoming.body > limit {
		return errs.New(errs.TooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	return errs.Pass(p.Processor.OnBody(parser, data), "body")
}

// OnComplete implements nbhttp.Processor.
func (p *limitedProcessor) OnComplete(parser *nbhttp.Parser) {
	p.incoming.isComplete = true
	p.Processor.OnComplete(parser)
}
