package fake

import "encoding/json"

// format writes the answer of one request in the completion API.
type format struct {
	model  string
	chat   bool
	stream bool
}

func (f format) contentType() string {
	if f.stream {
		return "text/event-stream"
	}
	return "application/json"
}

func (f format) object() string {
	switch {
	case f.chat && f.stream:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// token is the SSE event of the output token produced last.
func (f format) token(j *job) []byte {
	return f.event(j, f.choice(outputToken(j.seed, j.produced-1), nil), nil)
}

// last ends an answer: for a stream the finish reason, the usage and the
// closing event, else the whole answer.
func (f format) last(j *job) [][]byte {
	if !f.stream {
		text := outputText(j.seed, j.produced)
		return [][]byte{append(f.message(j, f.choice(text, "length"), f.usage(j)), '\n')}
	}
	return [][]byte{
		f.event(j, f.choice("", "length"), nil),
		f.event(j, nil, f.usage(j)),
		[]byte("data: [DONE]\n\n"),
	}
}

func (f format) choice(text string, finish any) map[string]any {
	c := map[string]any{"index": 0, "finish_reason": finish}
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

func (f format) usage(j *job) map[string]any {
	return map[string]any{
		"prompt_tokens":         len(j.prompt),
		"completion_tokens":     j.produced,
		"total_tokens":          len(j.prompt) + j.produced,
		"prompt_tokens_details": map[string]any{"cached_tokens": j.cached},
	}
}

func (f format) event(j *job, choice, usage map[string]any) []byte {
	return append(append([]byte("data: "), f.message(j, choice, usage)...), "\n\n"...)
}

func (f format) message(j *job, choice, usage map[string]any) []byte {
	m := map[string]any{"id": j.id, "object": f.object(), "model": f.model, "choices": []any{}}
	if choice != nil {
		m["choices"] = []any{choice}
	}
	if usage != nil {
		m["usage"] = usage
	}
	b, _ := json.Marshal(m) // maps of strings and numbers always marshal
	return b
}
