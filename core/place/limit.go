package place

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayarock/core/fleet"
	"papayarock/core/roster"
)

const (
	// minNamedLimit is the lowest limit that gateways use, in requests per second of all
	// gateways together. A target that names a lower one still gets a request from time to
	// time, since only a response tells that the limit no longer holds.
	minNamedLimit = 0.1
	// gatewaysHold is how long a higher number of gateways still divides the limits after a
	// lower one was reported. A replica that has just started reports too few.
	gatewaysHold = 10 * time.Second
)

// namedLimit is a limit that a target has named in its responses. The gateways share it
// equally: the share needs no other process, so that it also holds while the registry is
// unreachable. The zero value is no limit.
type namedLimit struct {
	perSecond float64   // requests that the target takes from all gateways together; zero for no limit
	namedAt   time.Time // when a response last named the limit
	next      time.Time // when this gateway may send its next request
}

// share returns the requests per second that one gateway may send.
func (l *namedLimit) share(gateways int) float64 { return l.perSecond / float64(gateways) }

// interval returns the time between two requests of one gateway.
func (l *namedLimit) interval(gateways int) time.Duration {
	return time.Duration(float64(time.Second) / l.share(gateways))
}

// admits reports whether the limit allows a request at now.
func (l *namedLimit) admits(now time.Time) bool { return l.perSecond == 0 || !now.Before(l.next) }

// take accounts for a request that is sent at now. Of the time in which no request was
// sent, only one interval counts.
func (l *namedLimit) take(now time.Time, gateways int) {
	if l.perSecond == 0 {
		return
	}
	interval := l.interval(gateways)
	if oldest := now.Add(-interval); l.next.Before(oldest) {
		l.next = oldest
	}
	l.next = l.next.Add(interval)
}

// RecordLimit records the limit that the given run of a target has named in the response to
// a request that was sent at sent, in requests per second of all gateways together. Without
// a limit (named is false), an earlier one ends if the request was sent after it was named.
// RecordLimit reports whether the target has begun or ceased to name a limit.
func (p *Placer) RecordLimit(now, sent time.Time, r roster.Record, perSecond float64, named bool) bool {
	t := p.find(r)
	if t == nil {
		return false
	}
	l := &t.namedLimit
	before := l.perSecond > 0
	switch {
	case named:
		l.perSecond, l.namedAt = max(perSecond, minNamedLimit), now
		interval := l.interval(p.limitGateways)
		if !before {
			l.next = now.Add(time.Duration(phase(sent, r.Target) * float64(interval)))
		}
		if latest := now.Add(interval); l.next.After(latest) {
			l.next = latest // the limit has risen
		}
	case before && sent.After(l.namedAt):
		*l = namedLimit{}
	}
	return before != (l.perSecond > 0)
}

// phase returns a number between zero and one at which a gateway begins with its share.
// Gateways hear of a limit at almost the same time, and with the same phase their next
// requests would all come at once. They differ in the time at which they sent the request.
func phase(sent time.Time, target fleet.TargetName) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(sent.UnixNano())))
	_, _ = d.WriteString(string(target))
	return float64(d.Sum64()>>11) / (1 << 53)
}

// LimitGateways returns the number of gateways that share limits: the highest one that was
// reported lately. It is at least one.
func (p *Placer) LimitGateways() int { return max(1, p.limitGateways) }

// setLimitGateways sets the number of gateways that share the named limits.
func (p *Placer) setLimitGateways(now time.Time, n int) {
	if n >= p.limitGateways || now.Sub(p.limitGatewaysAt) > gatewaysHold {
		p.limitGateways, p.limitGatewaysAt = n, now
	}
}
