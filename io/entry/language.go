package entry

import (
	"encoding/json"

	"papayarock/core/config"
	"papayarock/core/prefix"
)

// language is what the entry reads of a request of the completion API. The zero
// value is that of other requests and of bodies that the engine refuses.
type language struct {
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func readLanguage(route config.Route, body []byte) language {
	var l language
	if route.Protocol != config.Language || json.Unmarshal(body, &l) != nil {
		return language{}
	}
	return l
}

// maxOutput is the caller's bound on the answer.
func (l language) maxOutput() int { return max(l.MaxTokens, l.MaxCompletionTokens, 0) }

// prefix hashes the beginnings of the prompt. Prompts and messages in other
// forms than text have none, and are placed without regard to caches.
func (l language) prefix() []uint64 {
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
