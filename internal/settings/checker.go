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

// checker collects the faults of settings. It is not safe for concurrent use.
type checker struct {
	src *strictjson.Source
	// undecodable holds the JSON pointers of values that could not be decoded.
	// No further faults are reported for these values or for values inside
	// them: they were left at zero, which may violate other rules too.
	undecodable map[string]bool
	faults      []Fault
}

// addFault records a fault of a field, unless the field or an enclosing value
// could not be decoded.
func (c *checker) addFault(field string, rule Rule, format string, args ...any) {
	for pointer := field; ; pointer = pointer[:strings.LastIndexByte(pointer, '/')] {
		if c.undecodable[pointer] {
			return
		}
		if pointer == "" {
			break
		}
	}
	c.faults = append(c.faults, Fault{Field: field, Line: c.src.Line(field), Rule: rule, Detail: fmt.Sprintf(format, args...), Remedy: remedies[rule]})
}

func (c *checker) check(n *Node) {
	var invalid validator.ValidationErrors
	if errors.As(newValidator().Struct(n), &invalid) {
		for _, e := range invalid {
			c.addTagFault(e)
		}
	}
	c.checkListeners(n)
	c.checkReachable(n)
	c.checkKeys(&n.Keys)
	if p, ok := presets[n.Preset]; ok && n.Region != "" && !p.hasRegion(n.Region) {
		c.addFault("/region", RulePresetRegion, "preset %q has the regions %s, not %q", n.Preset, strings.Join(p.Regions, ", "), n.Region)
	}
}

// addTagFault records a fault for a violated struct tag.
func (c *checker) addTagFault(e validator.FieldError) {
	field := jsonPointer(e.Namespace())
	switch e.Tag() {
	case "required":
		c.addFault(field, RuleRequired, "the setting is missing or empty")
	case "min", "max", "gte", "lte", "gt", "lt":
		c.addFault(field, RuleRange, "%v, want %s %s", e.Value(), e.Tag(), e.Param())
	case "oneof":
		c.addFault(field, RuleChoice, "%.80q, want one of: %s", fmt.Sprint(e.Value()), e.Param())
	case tagAddress:
		c.addFault(field, RuleAddress, "%.80q is not an IP address with a port", fmt.Sprint(e.Value()))
	case tagURL:
		c.addFault(field, RuleURL, "%.80q is not a URL with an IP address", fmt.Sprint(e.Value()))
	default:
		c.addFault(field, RuleOther, "%.80q violates %s", fmt.Sprint(e.Value()), e.Tag())
	}
}

// checkListeners reports listening addresses that overlap. It also reports an
// upstream address that overlaps one of them, because the node would forward
// calls to itself.
func (c *checker) checkListeners(n *Node) {
	addrs := []struct{ field, addr string }{
		{"/listen/calls", n.Listen.Calls}, {"/listen/peers", n.Listen.Peers}, {"/listen/admin", n.Listen.Admin}, {"/upstream", n.Upstream},
	}
	for i, a := range addrs {
		for _, b := range addrs[:i] {
			if overlaps(a.addr, b.addr) {
				c.addFault(a.field, RuleOverlap, "%s overlaps %s (%s)", a.addr, b.field, b.addr)
			}
		}
	}
}

// overlaps reports whether two addresses have the same port and the same IP
// address, where an unspecified IP address equals any other.
func overlaps(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

// checkReachable reports unspecified IP addresses among the addresses that other
// nodes connect to.
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
			c.addFault(field, RuleUnreachable, "other nodes cannot reach %s", addr)
		}
	}
}

func (c *checker) checkKeys(k *Keys) {
	listedUnder := map[string]string{}
	for _, list := range []struct {
		field string
		keys  []string
	}{{"/keys/product", k.Product}, {"/keys/operations", k.Operations}} {
		for i, text := range list.keys {
			field := fmt.Sprintf("%s/%d", list.field, i)
			if _, err := decodeKey(text); err != nil {
				c.addFault(field, RuleKey, "not an ed25519 public key in base64")
			} else if first, ok := listedUnder[text]; ok && first != list.field {
				c.addFault(field, RuleSharedKey, "the key is also listed under %s", first)
			}
			listedUnder[text] = list.field
		}
	}
}
