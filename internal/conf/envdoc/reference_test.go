package envdoc

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestReferenceNamesEveryKey keeps the reference of the document complete.
func TestReferenceNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ENVIRONMENT.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[reflect.Type]bool)
	var visit func(of reflect.Type)
	visit = func(of reflect.Type) {
		if of.Kind() == reflect.Slice {
			of = of.Elem()
		}
		if of.Kind() != reflect.Struct || seen[of] {
			return
		}
		seen[of] = true
		for i := range of.NumField() {
			key := of.Field(i).Tag.Get(yamlTag)
			if key == "" {
				t.Errorf("%s.%s has no key", of.Name(), of.Field(i).Name)
			}
			if !hasKey(string(page), key) {
				t.Errorf("the reference lacks %s of %s", key, of.Name())
			}
			visit(of.Field(i).Type)
		}
	}
	visit(reflect.TypeFor[Document]())
}

// hasKey tells whether the page has the key by itself, below a list, or as a list.
func hasKey(page, key string) bool {
	for _, form := range []string{"`" + key + "`", "." + key + "`", "`" + key + "[]"} {
		if strings.Contains(page, form) {
			return true
		}
	}
	return false
}
