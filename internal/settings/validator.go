package settings

import (
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Struct tags of this package. Names are refused because processes reach each
// other by IP address alone and no part resolves names.
const (
	tagAddress = "ip_port"
	tagURL     = "ip_url"
)

// newValidator returns a validator that names fields as the JSON does.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	for tag, ok := range map[string]func(string) bool{tagAddress: isAddress, tagURL: isURL} {
		// Registration fails only for empty or reserved tags.
		_ = v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return ok(f.Field().String()) })
	}
	return v
}

func isAddress(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() > 0
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

// pointerOf turns "Node.keys.product[0]" into "/keys/product/0".
func pointerOf(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
}
