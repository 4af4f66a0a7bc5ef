package control

import (
	"time"

	"github.com/filbertpier/filbertpier/internal/effect"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/message"
)

// effects collects the effects that one method of Agent returns.
type effects []effect.Effect

func (e *effects) send(self, to member.Member, m message.Message) {
	*e = append(*e, effect.Send{VM: to.VM, Addr: to.PeerAddr, CrossRegion: to.Region != self.Region, Message: m})
}

func (e *effects) sendAddr(addr string, m message.Message) {
	*e = append(*e, effect.Send{Addr: addr, Message: m})
}

func (e *effects) startTimer(after time.Duration, t effect.Timer) {
	*e = append(*e, effect.StartTimer{Delay: after, Timer: t})
}

func (e *effects) read(r effect.ReadPlatform) { *e = append(*e, r) }

func (e *effects) log(event effect.Event, fields ...any) {
	*e = append(*e, effect.Log{Event: event, Fields: fields})
}
