package admission

import "time"

// paceBurstSeconds is the time whose calls may start at once after a pause. It is
// short, because the upstream counts its limit over a few seconds.
const paceBurstSeconds = 0.25

// pace limits how many calls start per second. Its zero value is unlimited. It is
// guarded by the scheduler's lock.
type pace struct {
	perSecond float64
	// starts is the number of calls that may start at updatedAt.
	starts    float64
	updatedAt time.Time
}

func (p *pace) limited() bool { return p.perSecond > 0 }

// burst returns how many calls may start at once after a pause.
func (p *pace) burst() float64 { return max(1, paceBurstSeconds*p.perSecond) }

// set changes the limit; zero removes it. A new limit starts with one call.
func (p *pace) set(now time.Time, perSecond float64) {
	if perSecond == p.perSecond {
		return
	}
	if !p.limited() {
		p.starts, p.updatedAt = 1, now
	}
	p.advance(now)
	p.perSecond = perSecond
	p.starts = min(p.starts, p.burst())
}

func (p *pace) advance(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.starts = min(p.starts+elapsed.Seconds()*p.perSecond, p.burst())
		p.updatedAt = now
	}
}

// take starts a call and reports whether the limit permits it.
func (p *pace) take(now time.Time) bool {
	if !p.limited() {
		return true
	}
	p.advance(now)
	if p.starts < 1 {
		return false
	}
	p.starts--
	return true
}

// giveBack reverts take for a call that did not start.
func (p *pace) giveBack() {
	if p.limited() {
		p.starts = min(p.starts+1, p.burst())
	}
}

// untilNext returns how long it takes until a call may start.
func (p *pace) untilNext(now time.Time) time.Duration {
	if !p.limited() {
		return 0
	}
	p.advance(now)
	return time.Duration(max(0, 1-p.starts) / p.perSecond * float64(time.Second))
}
