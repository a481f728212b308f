package entry

import (
	"encoding/json"

	"papayarock/core/config"
	"papayarock/core/prefix"
)

// completionRequest holds the fields of a completion API request that the entry
// uses. It is zero for requests of other routes and for invalid bodies. Invalid
// bodies are refused by the engine.
type completionRequest struct {
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func parseCompletionRequest(route config.Route, body []byte) completionRequest {
	var request completionRequest
	if route.Protocol != config.Language || json.Unmarshal(body, &request) != nil {
		return completionRequest{}
	}
	return request
}

// maxOutputTokens returns the caller's limit on output tokens, or 0 if there is none.
func (r completionRequest) maxOutputTokens() int { return max(r.MaxTokens, r.MaxCompletionTokens, 0) }

// prefixHashes returns the hashes of the prefixes of the prompt and messages, by
// which a Picker finds targets that have them cached. A prompt that is not text has
// none. Messages are left out if one of them is not text.
func (r completionRequest) prefixHashes() []uint64 {
	var h prefix.Hasher
	var prompt string
	if len(r.Prompt) > 0 {
		if json.Unmarshal(r.Prompt, &prompt) != nil {
			return nil
		}
		h.Add(prompt)
	}
	var messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	if len(r.Messages) > 0 && json.Unmarshal(r.Messages, &messages) != nil {
		return h.Hashes
	}
	for _, m := range messages {
		if !h.Add(m.Role+":") || !h.Add(m.Content) {
			break
		}
	}
	return h.Hashes
}
