package errs

import (
	"errors"
	"testing"
	"time"
)

func TestEncodeDecode(t *testing.T) {
	for _, k := range Kinds() {
		t.Run(string(k), func(t *testing.T) {
			got := Of(Decode(Encode(After(k, time.Second, "a|b: %d", 1))))
			if got.Kind != k || got.RetryAfter != time.Second || got.Message != "a|b: 1" {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestDecodeOfUnknownTextIsInternal(t *testing.T) {
	for _, line := range []string{"", "boom", "Nope|1s|x", "Lost|x|y"} {
		if !Is(Decode(line), Internal) {
			t.Errorf("%q was not decoded as kind Internal", line)
		}
	}
}

func TestEveryKindHasAStatusAndAnExitCode(t *testing.T) {
	for _, k := range Kinds() {
		row := AnswerOf(k)
		if row.Status < 400 || row.Exit == 0 {
			t.Errorf("%s has answer %+v, want a status from 400 and an exit code", k, row)
		}
		if row.Retry && row.MayHaveRun {
			t.Errorf("%s allows a retry of work that may have run", k)
		}
	}
}

func TestUntypedErrorIsInternal(t *testing.T) {
	if Of(errors.New("x")).Kind != Internal {
		t.Fatal("an error without a kind is not of kind Internal")
	}
}
