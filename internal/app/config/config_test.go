package config

import (
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// validSettings returns settings that pass Check.
func validSettings() Settings {
	return Settings{
		VM: "e1", Site: types.Site{Region: "tunis-north", DataCentre: "carthage"}, Environment: "production",
		CallersAddress: "127.0.0.1:7400", PeersAddress: "127.0.0.1:7401", StoreURL: "http://127.0.0.1:1",
		StoreRegion: "tunis-north", VMListURL: "http://127.0.0.1:2", DrainTimeout: time.Second,
		CallerTokens:   guard.ParseSecrets("caller-caller-caller"),
		OperatorTokens: guard.ParseSecrets("operator-operator-operator"),
		PeerKeys:       guard.ParseSecrets("peer-peer-peer-peer-peer-peer-peer-peer"),
	}
}

func TestValidSettingsPass(t *testing.T) {
	s := validSettings()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

func TestEachWrongSettingIsNamed(t *testing.T) {
	cases := map[string]func(*Settings){
		FlagVM:          func(s *Settings) { s.VM = "" },
		FlagRegion:      func(s *Settings) { s.Site.Region = "North" },
		FlagDataCentre:  func(s *Settings) { s.Site.DataCentre = "a b" },
		FlagEnvironment: func(s *Settings) { s.Environment = "" },
		FlagStoreRegion: func(s *Settings) { s.StoreRegion = "" },
		FlagCallers:     func(s *Settings) { s.CallersAddress = "localhost:1" },
		FlagPeers:       func(s *Settings) { s.PeersAddress = "127.0.0.1:99999" },
		FlagSeeds:       func(s *Settings) { s.Seeds = []types.Address{"x"} },
		FlagStore:       func(s *Settings) { s.StoreURL = "ftp://x" },
		FlagVMList:      func(s *Settings) { s.VMListURL = "" },
		FlagDrain:       func(s *Settings) { s.DrainTimeout = 0 },
		FlagNotice:      func(s *Settings) { s.DrainNotice = time.Hour },
		FlagCallerToken: func(s *Settings) { s.CallerTokens = nil },
		FlagOperToken:   func(s *Settings) { s.OperatorTokens = guard.ParseSecrets("short") },
		FlagPeerKey:     func(s *Settings) { s.PeerKeys = guard.ParseSecrets("peer-key-of-under-32-bytes") },
		FlagCert:        func(s *Settings) { s.CertFile = "cert.pem" },
	}
	for flag, invalidate := range cases {
		t.Run(flag, func(t *testing.T) {
			s := validSettings()
			invalidate(&s)
			err := s.Check()
			if !errs.Is(err, errs.Invalid) || !strings.Contains(err.Error(), "--"+flag+" ") {
				t.Fatalf("got error %v, want kind Invalid with the name of the setting", err)
			}
			if strings.Contains(err.Error(), "short") {
				t.Fatal("the error shows the content of a secret")
			}
		})
	}
}
