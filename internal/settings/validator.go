package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Validation tags of this package. They reject host names because processes
// connect to each other by IP address only and nothing resolves names.
const (
	tagAddress = "ip_port"
	tagURL     = "ip_url"
)

// newValidator returns a validator that reports fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	for tag, valid := range map[string]func(string) bool{tagAddress: isIPPort, tagURL: isIPURL} {
		// Registration fails only for empty or reserved tags.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
	}
	return v
}

func isIPPort(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() > 0
}

func isIPURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

// jsonPointer converts a validator namespace to a JSON pointer:
// "Node.keys.product[0]" becomes "/keys/product/0".
func jsonPointer(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
}
