package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/dispatch"
	"papayarock/core/fleet"
	"papayarock/core/state"
)

// ErrPlatform reports a call to the platform that failed or was refused.
var ErrPlatform = errors.New("platform call failed")

// maxPlatformBytes limits the size of a response of the platform.
const maxPlatformBytes = 8 << 20

// platformClient is a client of one of the platform's HTTP interfaces.
type platformClient struct {
	base   *url.URL
	client *http.Client
	host   fleet.Host
}

// platformTarget is a target in the platform's list.
type platformTarget struct {
	Name  string `json:"name"`
	State string `json:"state"`
	Order string `json:"order"`
}

// orderRequest is the request body of an order to start or stop a target. Only a
// start has more than a number.
type orderRequest struct {
	Number     string `json:"order"`
	Target     string `json:"target"`
	DataCentre string `json:"data-centre"`
	Pool       string `json:"pool"`
}

// usageReport is the request body with one customer's usage in a window.
type usageReport struct {
	Customer     string `json:"customer"`
	Window       string `json:"window"`
	PromptTokens uint64 `json:"prompt-tokens"`
	OutputTokens uint64 `json:"output-tokens"`
	Requests     uint64 `json:"requests"`
}

// call makes one request and returns the response status. A status of 500 or more is
// an error; for one of 400 to 499, out remains unset and the error is nil. A nil in
// sends no body; a nil out ignores the response body.
func (p *platformClient) call(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, errors.Wrap(ErrPlatform, err.Error())
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, p.base.String()+path, body)
	if err != nil {
		return 0, errors.Wrap(ErrPlatform, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Papayarock-Host", string(p.host))
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(ErrPlatform, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxPlatformBytes))
	if err != nil {
		return 0, errors.Wrapf(ErrPlatform, "%s %s: read response: %v", method, path, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode < http.StatusBadRequest {
		return resp.StatusCode, errors.Wrapf(ErrPlatform, "%s %s: redirect with status %d", method, path, resp.StatusCode)
	}
	if out != nil && resp.StatusCode < http.StatusBadRequest {
		if err := json.Unmarshal(b, out); err != nil {
			return 0, errors.Wrapf(ErrPlatform, "%s %s: decode response: %v", method, path, err)
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return resp.StatusCode, errors.Wrapf(ErrPlatform, "%s %s: status %d", method, path, resp.StatusCode)
	}
	return resp.StatusCode, nil
}

// find returns the target that a start order created or a stop order names. It is
// called before each attempt, since the response to an earlier attempt may have been
// lost and the platform need not recognise a repeated order number.
func (p *platformClient) find(ctx context.Context, o state.PlatformOrder) (platformTarget, bool, error) {
	var list []platformTarget
	if _, err := p.call(ctx, http.MethodGet, "/targets", nil, &list); err != nil {
		return platformTarget{}, false, err
	}
	for _, t := range list {
		if o.Kind == state.PlatformStart && t.Order == o.Number.String() || o.Kind == state.PlatformStop && t.Name == string(o.Target) {
			return t, true, nil
		}
	}
	return platformTarget{}, false, nil
}

// order executes o unless an earlier attempt has done so. done is false if the
// platform refuses o; detail is the started target's name, the response status, or
// why there was nothing to do.
func (p *platformClient) order(ctx context.Context, o state.PlatformOrder) (done bool, detail string, err error) {
	known, found, err := p.find(ctx, o)
	if err != nil {
		return false, "", err
	}
	path, body := "/targets", any(orderRequest{
		Number: o.Number.String(), Target: string(o.Target), DataCentre: string(o.DataCentre), Pool: o.Pool,
	})
	if o.Kind == state.PlatformStop {
		if !found || known.State == "stopped" {
			return true, "not running", nil
		}
		path, body = "/targets/"+url.PathEscape(string(o.Target))+"/stop", orderRequest{Number: o.Number.String()}
	} else if found {
		return true, known.Name, nil
	}
	status, err := p.call(ctx, http.MethodPost, path, body, nil)
	if err != nil {
		return false, "", err
	}
	return status < http.StatusBadRequest, fmt.Sprintf("status %d", status), nil
}

// sendPlatform sends an order to the platform and commits the outcome.
func (c *Controller) sendPlatform(ctx context.Context, a dispatch.SendPlatform) error {
	callCtx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	done, detail, err := c.platform.order(callCtx, a.Order)
	if err != nil {
		return errors.Wrapf(err, "order %s for target %q to the platform", a.Order.Number, a.Order.Target)
	}
	return c.commit(ctx, state.AcknowledgePlatform{Number: a.Order.Number, Done: done, Detail: detail, Time: time.Now()})
}

// sendUsage sends the usage of a window, one report for each customer. The window
// is sealed, so a repeated report has the same figures.
func (c *Controller) sendUsage(ctx context.Context, a dispatch.SendUsage) error {
	callCtx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	for _, r := range usageReports(a.Window) {
		status, err := c.usage.call(callCtx, http.MethodPost, "/usage", r, nil)
		if err != nil {
			return errors.Wrapf(err, "report usage window %d of customer %q", a.Window.Number, r.Customer)
		}
		if status >= http.StatusBadRequest {
			return errors.Wrapf(ErrPlatform, "report usage window %d of customer %q: status %d", a.Window.Number, r.Customer, status)
		}
	}
	return c.commit(ctx, state.AcknowledgeUsage{Window: a.Window.Number})
}

// usageReports adds up a window's figures by customer.
func usageReports(w state.UsageWindow) []usageReport {
	var out []usageReport
	for _, f := range w.Figures { // sorted by customer
		if len(out) == 0 || out[len(out)-1].Customer != string(f.Customer) {
			out = append(out, usageReport{Customer: string(f.Customer), Window: fmt.Sprint(w.Number)})
		}
		r := &out[len(out)-1]
		r.PromptTokens += f.PromptTokens
		r.OutputTokens += f.OutputTokens
		r.Requests += f.Requests
	}
	return out
}
