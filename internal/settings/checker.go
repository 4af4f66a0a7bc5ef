package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/filbertpier/filbertpier/internal/strictjson"
)

// checker collects the faults of settings. It is used by one goroutine.
type checker struct {
	src *strictjson.Source
	// broken holds the pointers of values that could not be decoded; their
	// zero value is not reported again.
	broken map[string]bool
	faults []Fault
}

func (c *checker) fault(field string, rule Rule, format string, args ...any) {
	for at := field; ; at = at[:strings.LastIndexByte(at, '/')] {
		if c.broken[at] {
			return
		}
		if at == "" {
			break
		}
	}
	c.faults = append(c.faults, Fault{Field: field, Line: c.src.Line(field), Rule: rule, Detail: fmt.Sprintf(format, args...), Remedy: remedies[rule]})
}

func (c *checker) check(n *Node) {
	var invalid validator.ValidationErrors
	if errors.As(newValidator().Struct(n), &invalid) {
		for _, e := range invalid {
			c.tagFault(e)
		}
	}
	c.checkListeners(n)
	c.checkReachable(n)
	c.checkKeys(&n.Keys)
	if p, ok := presets[n.Preset]; ok && n.Region != "" && !p.has(n.Region) {
		c.fault("/region", RulePresetRegion, "preset %q has the regions %s, not %q", n.Preset, strings.Join(p.Regions, ", "), n.Region)
	}
}

// tagFault turns a violated struct tag into a fault.
func (c *checker) tagFault(e validator.FieldError) {
	field := pointerOf(e.Namespace())
	switch e.Tag() {
	case "required":
		c.fault(field, RuleRequired, "the setting is missing or empty")
	case "min", "max", "gte", "lte", "gt", "lt":
		c.fault(field, RuleRange, "%v, want %s %s", e.Value(), e.Tag(), e.Param())
	case "oneof":
		c.fault(field, RuleChoice, "%.80q, want one of: %s", fmt.Sprint(e.Value()), e.Param())
	case tagAddress:
		c.fault(field, RuleAddress, "%.80q is not an IP address with a port", fmt.Sprint(e.Value()))
	case tagURL:
		c.fault(field, RuleURL, "%.80q is not a URL with an IP address", fmt.Sprint(e.Value()))
	default:
		c.fault(field, RuleOther, "%.80q violates %s", fmt.Sprint(e.Value()), e.Tag())
	}
}

// checkListeners reports addresses that cannot be listened on together, and an
// upstream address that is the node's own, which would loop calls.
func (c *checker) checkListeners(n *Node) {
	used := []struct{ field, addr string }{
		{"/listen/calls", n.Listen.Calls}, {"/listen/peers", n.Listen.Peers}, {"/listen/admin", n.Listen.Admin}, {"/upstream", n.Upstream},
	}
	for i, a := range used {
		for _, b := range used[:i] {
			if overlap(a.addr, b.addr) {
				c.fault(a.field, RuleOverlap, "%s overlaps %s (%s)", a.addr, b.field, b.addr)
			}
		}
	}
}

func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// checkReachable reports addresses that mean "any" where other nodes need one.
func (c *checker) checkReachable(n *Node) {
	for _, a := range []struct{ listenField, listen, advertiseField, advertise string }{
		{"/listen/calls", n.Listen.Calls, "/advertise/calls", n.Advertise.Calls},
		{"/listen/peers", n.Listen.Peers, "/advertise/peers", n.Advertise.Peers},
	} {
		field, addr := a.listenField, a.listen
		if a.advertise != "" {
			field, addr = a.advertiseField, a.advertise
		}
		host, _, err := net.SplitHostPort(addr)
		if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsUnspecified() {
			c.fault(field, RuleUnreachable, "other nodes cannot reach %s", addr)
		}
	}
}

func (c *checker) checkKeys(k *Keys) {
	lead := map[string]string{}
	for _, list := range []struct {
		field string
		keys  []string
	}{{"/keys/product", k.Product}, {"/keys/operations", k.Operations}} {
		for i, text := range list.keys {
			field := fmt.Sprintf("%s/%d", list.field, i)
			if _, err := decodeKey(text); err != nil {
				c.fault(field, RuleKey, "not an ed25519 public key in base64")
			} else if first, ok := lead[text]; ok && first != list.field {
				c.fault(field, RuleSharedKey, "the key is also listed under %s", first)
			}
			lead[text] = list.field
		}
	}
}
