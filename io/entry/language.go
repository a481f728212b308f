package entry

import (
	"encoding/json"

	"papayarock/core/config"
	"papayarock/core/prefix"
)

// completionRequest holds the fields of a completion API request that the entry
// uses. It is zero for other requests and for invalid bodies, which the engine
// refuses.
type completionRequest struct {
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func parseCompletionRequest(route config.Route, body []byte) completionRequest {
	var l completionRequest
	if route.Protocol != config.Language || json.Unmarshal(body, &l) != nil {
		return completionRequest{}
	}
	return l
}

// maxOutput returns the client's limit on output tokens, or 0 if there is none.
func (l completionRequest) maxOutput() int { return max(l.MaxTokens, l.MaxCompletionTokens, 0) }

// prefixHashes returns hashes of the prefixes of the prompt. Prompts and messages
// that are not text have none and are placed without regard to prefix caches.
func (l completionRequest) prefixHashes() []uint64 {
	var h prefix.Hasher
	var prompt string
	if len(l.Prompt) > 0 {
		if json.Unmarshal(l.Prompt, &prompt) != nil {
			return nil
		}
		h.Add(prompt)
	}
	var messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	if len(l.Messages) > 0 && json.Unmarshal(l.Messages, &messages) != nil {
		return h.Hashes
	}
	for _, m := range messages {
		if !h.Add(m.Role+":") || !h.Add(m.Content) {
			break
		}
	}
	return h.Hashes
}
