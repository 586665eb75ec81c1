package envdoc

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestReferenceNamesEveryKey guards against a key of the document that its reference page does not describe.
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
				t.Errorf("field %s.%s has no yaml tag", of.Name(), of.Field(i).Name)
			}
			if !hasKey(string(page), key) {
				t.Errorf("the reference page lacks key %s of %s", key, of.Name())
			}
			visit(of.Field(i).Type)
		}
	}
	visit(reflect.TypeFor[Document]())
}

// hasKey reports whether the page contains the key by itself, below another key, or as a list.
func hasKey(page, key string) bool {
	for _, form := range []string{"`" + key + "`", "." + key + "`", "`" + key + "[]"} {
		if strings.Contains(page, form) {
			return true
		}
	}
	return false
}
