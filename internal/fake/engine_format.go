package fake

import "encoding/json"

// responseFormat encodes the responses of the completion API, which depend on the
// kind of request.
type responseFormat struct {
	model  string
	chat   bool
	stream bool
}

func (f responseFormat) contentType() string {
	if f.stream {
		return "text/event-stream"
	}
	return "application/json"
}

func (f responseFormat) object() string {
	switch {
	case f.chat && f.stream:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// tokenFrame returns the SSE event for the latest output token.
func (f responseFormat) tokenFrame(j *job) []byte {
	return f.eventFrame(j, f.choice(outputToken(j.seed, j.generated-1), nil), nil)
}

// finalFrames returns the frames that end a response: for a stream, the SSE events
// with the finish reason, the usage and [DONE]; otherwise the complete body.
func (f responseFormat) finalFrames(j *job) [][]byte {
	if !f.stream {
		text := outputText(j.seed, j.generated)
		return [][]byte{append(f.encode(j, f.choice(text, "length"), f.usage(j)), '\n')}
	}
	return [][]byte{
		f.eventFrame(j, f.choice("", "length"), nil),
		f.eventFrame(j, nil, f.usage(j)),
		[]byte("data: [DONE]\n\n"),
	}
}

// choice returns the only element of "choices". finishReason is nil until the last
// token.
func (f responseFormat) choice(text string, finishReason any) map[string]any {
	c := map[string]any{"index": 0, "finish_reason": finishReason}
	switch {
	case f.chat && f.stream:
		c["delta"] = map[string]any{"role": "assistant", "content": text}
	case f.chat:
		c["message"] = map[string]any{"role": "assistant", "content": text}
	default:
		c["text"] = text
	}
	return c
}

func (f responseFormat) usage(j *job) map[string]any {
	return map[string]any{
		"prompt_tokens":         len(j.prompt),
		"completion_tokens":     j.generated,
		"total_tokens":          len(j.prompt) + j.generated,
		"prompt_tokens_details": map[string]any{"cached_tokens": j.cachedTokens},
	}
}

// eventFrame returns an SSE event. choice and usage may be nil.
func (f responseFormat) eventFrame(j *job, choice, usage map[string]any) []byte {
	return append(append([]byte("data: "), f.encode(j, choice, usage)...), "\n\n"...)
}

// encode returns the JSON object of a complete body or of an SSE event.
func (f responseFormat) encode(j *job, choice, usage map[string]any) []byte {
	m := map[string]any{"id": j.id, "object": f.object(), "model": f.model, "choices": []any{}}
	if choice != nil {
		m["choices"] = []any{choice}
	}
	if usage != nil {
		m["usage"] = usage
	}
	b, _ := json.Marshal(m) // can't fail for strings and numbers
	return b
}
