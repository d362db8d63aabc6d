package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"crosstide/internal/routine"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// operators is the number of operators; each version needs the signatures of both.
const operators = 2

// bodyAttempts is the maximum number of attempts to read the text of a patched bundle.
const bodyAttempts = 10

// draft is a bundle version that was written and is to be signed.
type draft struct {
	version uint64
	digest  string
	text    []byte
}

// change makes change i: a draft by one operator, or by both at the same time, the signatures of both, and the checks
// of all nodes.
func (o *session) change(ctx context.Context, i int) {
	base, isKnown := o.newestVersion(ctx)
	if !isKnown {
		o.sleep(ctx, retryBackoff)
		return
	}
	winner := o.pickWinner(o.writeDrafts(ctx, i, base))
	if winner == nil {
		return
	}
	signers := o.rng.Perm(operators)
	concurrency := 1 + o.rng.IntN(operators)
	results := make([]signResult, operators)
	routine.Each(operators, concurrency, func(k int) {
		id := fmt.Sprintf("%s-%d-s%d", o.prefix, i, signers[k])
		results[k] = o.sign(ctx, id, o.keys[signers[k]], winner)
	})
	for _, result := range results {
		if result.isInForce {
			o.afterForce(ctx, winner, result)
		}
	}
}

// newestVersion returns the version that the next draft is based on; isKnown is false if it cannot be read.
func (o *session) newestVersion(ctx context.Context) (version uint64, isKnown bool) {
	var log struct{ Newest uint64 }
	isKnown = o.read(ctx, o.anyControlPlane(), "/v1/bundles?limit=1", &log)
	return log.Newest, isKnown
}

// writeDrafts has one operator, or both at the same time, write a draft based on base. A draft that was refused is nil.
func (o *session) writeDrafts(ctx context.Context, i int, base uint64) []*draft {
	authors := []int{o.rng.IntN(operators)}
	if o.rng.Float64() < o.RaceProbability {
		authors = []int{0, 1}
		o.counts.Races++
	}
	texts := make([][]byte, len(authors))
	for k := range texts {
		texts[k] = o.randomBundle()
	}
	isPatch := len(authors) == 1 && o.rng.IntN(3) == 0
	drafts := make([]*draft, len(authors))
	routine.Each(len(authors), operators, func(k int) {
		id, key := fmt.Sprintf("%s-%d-%d", o.prefix, i, authors[k]), o.keys[authors[k]]
		if isPatch {
			drafts[k] = o.patch(ctx, id, key, base)
		} else {
			drafts[k] = o.put(ctx, id, key, base, texts[k])
		}
	})
	return drafts
}

// pickWinner returns the last draft that was accepted, or nil. Of two drafts on one base only one may be accepted.
func (o *session) pickWinner(drafts []*draft) (winner *draft) {
	for _, d := range drafts {
		if d == nil {
			continue
		}
		if winner != nil {
			o.counts.BothWon++
		}
		winner = d
	}
	return winner
}

// put writes a draft of a complete bundle.
func (o *session) put(ctx context.Context, id string, key signature.Key, base uint64, text []byte) *draft {
	query := signedQuery(id, base, key, signature.BundlePut(id, base, signature.Digest(text)))
	entry := Entry{Event: Put, Order: id, By: key.Name, Base: base}
	return o.writeDraft(ctx, "/v1/bundles?"+query, text, text, entry)
}

// patch writes a draft that changes one queue of the base. The text of the returned draft is the complete bundle, which
// it reads from the fleet.
func (o *session) patch(ctx context.Context, id string, key signature.Key, base uint64) *draft {
	raw, err := json.Marshal(map[string]any{"queues": map[string]any{"default": o.randomQueue()}})
	if err != nil {
		return nil
	}
	query := signedQuery(id, base, key, signature.BundlePatch(id, base, signature.Digest(raw)))
	entry := Entry{Event: Put, Order: id, By: key.Name, Base: base}
	return o.writeDraft(ctx, "/v1/bundles/patch?"+query, raw, nil, entry)
}

// signedQuery returns the query of a call that writes a draft: its ID, base, author, and the author's signature of
// message.
func signedQuery(id string, base uint64, key signature.Key, message string) string {
	return url.Values{"order": {id}, "base": {strconv.FormatUint(base, 10)}, "by": {key.Name},
		"sig": {key.Sign(message)}}.Encode()
}

// writeDraft sends a draft. If text is nil, it reads the text from the fleet. It returns nil if the draft was refused
// or its text cannot be read.
func (o *session) writeDraft(ctx context.Context, path string, body, text []byte, entry Entry) *draft {
	var drafted command.BundleDrafted
	complete := func(e *Entry) { e.Version, e.SHA = drafted.Version, drafted.Digest }
	if _, isDone := o.order(ctx, path, body, entry, &drafted, complete); !isDone {
		return nil
	}
	o.count(func(r *Report) { r.Puts++ })
	bodyPath := fmt.Sprintf("/v1/bundles/%d/body", drafted.Version)
	for attempt := 0; text == nil && attempt < bodyAttempts && ctx.Err() == nil; attempt++ {
		reply, err := o.caller.Call(ctx, http.MethodGet, o.anyControlPlane().Addr, bodyPath, nil, callTimeout)
		if err == nil && reply.IsSuccess() {
			text = reply.Body
		} else if !o.sleep(ctx, retryBackoff) {
			break
		}
	}
	if text == nil {
		return nil
	}
	return &draft{drafted.Version, signature.Digest(text), text}
}

// signResult is the answer to a signature.
type signResult struct {
	answer
	order, by string
	isInForce bool // it was the last signature required, and put the version in force
}

// sign sends an operator's signature of a draft.
func (o *session) sign(ctx context.Context, id string, key signature.Key, d *draft) signResult {
	body := mustEncode(map[string]string{"order": id, "sha256": d.digest, "by": key.Name,
		"sig": key.Sign(signature.Bundle(d.version, d.digest))})
	entry := Entry{Event: Sign, Order: id, By: key.Name, Version: d.version, SHA: d.digest}
	var signed command.BundleSigned
	path := fmt.Sprintf("/v1/bundles/%d/sign", d.version)
	first, isDone := o.order(ctx, path, body, entry, &signed, func(*Entry) {})
	return signResult{first, id, key.Name, isDone && signed.Phase == state.RevisionInForce}
}

// submitInvalid sends a draft whose text must be refused with all four of its validation errors.
func (o *session) submitInvalid(ctx context.Context, i int) {
	base, isKnown := o.newestVersion(ctx)
	if !isKnown {
		return
	}
	text := []byte(`{"queues":{"default":{"placement":{"zones":[]},"hold":"soon"}},"limits":{"scan":-1},"nope":1}`)
	id, key := fmt.Sprintf("%s-%d-i", o.prefix, i), o.keys[o.rng.IntN(operators)]
	query := signedQuery(id, base, key, signature.BundlePut(id, base, signature.Digest(text)))
	answer, err := o.sendUntilAnswered(ctx, "/v1/bundles?"+query, text)
	o.counts.Invalid++
	isRefused := answer.reply.Status == http.StatusUnprocessableEntity &&
		strings.Contains(string(answer.reply.Body), "4 mistakes")
	if err == nil && !isRefused {
		o.counts.InvalidTaken++
	}
}

func mustEncode(body map[string]string) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: strings
	}
	return raw
}
