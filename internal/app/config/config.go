// Package config defines the settings of a daemon. They are read from flags and environment variables and checked at
// start.
package config

import (
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Names of the flags. Each setting can also be given as an environment variable (see Flags).
const (
	FlagVM          = "vm"
	FlagRegion      = "region"
	FlagDataCentre  = "data-centre"
	FlagEnvironment = "environment"
	FlagCallers     = "callers-address"
	FlagPeers       = "peers-address"
	FlagSeeds       = "seed"
	FlagStore       = "store-url"
	FlagStoreRegion = "store-region"
	FlagVMList      = "vm-list-url"
	FlagLogLevel    = "log-level"
	FlagDrain       = "drain-timeout"
	FlagNotice      = "drain-notice"
	FlagCallerToken = "caller-token"
	FlagOperToken   = "operator-token"
	FlagPeerKey     = "peer-key"
	FlagCert        = "tls-cert-file"
	FlagKey         = "tls-key-file"
)

// Default values of the settings.
const (
	DefaultEnvironment  = "production"
	DefaultCallers      = "127.0.0.1:7400"
	DefaultPeers        = "127.0.0.1:7401"
	DefaultDrainTimeout = 25 * time.Second
	DefaultLogLevel     = "info"
	DefaultDrainNotice  = 2 * time.Second

	envPrefix       = "MAGNOLIAWALK_"
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
	maxPort         = 65535
)

// Settings holds the settings of one daemon. Check reports which values are allowed.
type Settings struct {
	VM             types.VMID
	Site           types.Site
	Environment    envdoc.Name
	CallersAddress types.Address
	PeersAddress   types.Address
	// Seeds are the peers addresses of other daemons, used while the list of VMs cannot be read.
	Seeds        []types.Address
	StoreURL     string
	StoreRegion  types.Region
	VMListURL    string
	LogLevel     zerolog.Level
	DrainTimeout time.Duration
	// DrainNotice is how long a draining daemon continues to serve, so that the load balancer notices that it is
	// leaving. It is part of DrainTimeout.
	DrainNotice    time.Duration
	CallerTokens   []guard.Secret
	OperatorTokens []guard.Secret
	// PeerKeys are the keys that all daemons share. The first one is the daemon's own; the others are accepted, too,
	// while keys are being changed.
	PeerKeys []guard.Secret
	// CertFile and KeyFile hold the TLS certificate for callers and its private key. Either both or neither is set.
	CertFile string
	KeyFile  string
}

// Flags returns the flags of a daemon. Each can also be given as the environment variable MAGNOLIAWALK_ followed by the
// variable's name.
func Flags() []cli.Flag {
	return []cli.Flag{
		stringFlag(FlagVM, "VM", "id of this VM", ""),
		stringFlag(FlagRegion, "REGION", "region of this VM", ""),
		stringFlag(FlagDataCentre, "DATA_CENTRE", "data centre of this VM", ""),
		stringFlag(FlagEnvironment, "ENVIRONMENT", "environment whose document this daemon uses", DefaultEnvironment),
		stringFlag(FlagCallers, "CALLERS_ADDRESS", "IP address and port for callers and operators", DefaultCallers),
		stringFlag(FlagPeers, "PEERS_ADDRESS", "IP address and port for other daemons", DefaultPeers),
		&cli.StringSliceFlag{
			Name: FlagSeeds, Sources: cli.EnvVars(envPrefix + "SEEDS"),
			Usage: "peers address of another daemon, used while the list of VMs cannot be read; may be given more than once",
		},
		stringFlag(FlagStore, "STORE_URL", "URL of the platform's store", ""),
		stringFlag(FlagStoreRegion, "STORE_REGION", "region of the store", ""),
		stringFlag(FlagVMList, "VM_LIST_URL", "URL of the platform's list of VMs", ""),
		stringFlag(FlagLogLevel, "LOG_LEVEL", "debug, info, warn or error", DefaultLogLevel),
		&cli.DurationFlag{
			Name: FlagDrain, Sources: cli.EnvVars(envPrefix + "DRAIN_TIMEOUT"), Value: DefaultDrainTimeout,
			Usage: "maximum time to wait for requests in flight at shutdown, 1s to 10m",
		},
		&cli.DurationFlag{
			Name: FlagNotice, Sources: cli.EnvVars(envPrefix + "DRAIN_NOTICE"), Value: DefaultDrainNotice,
			Usage: "how long a draining daemon continues to serve, 0s to the drain timeout",
		},
		stringFlag(FlagCallerToken, "CALLER_TOKEN", "bearer tokens of callers, separated by commas", ""),
		stringFlag(FlagOperToken, "OPERATOR_TOKEN", "bearer tokens of operators, separated by commas", ""),
		stringFlag(FlagPeerKey, "PEER_KEY", "keys that all daemons share, separated by commas; the first one is in use", ""),
		stringFlag(FlagCert, "TLS_CERT_FILE", "file with the TLS certificate for callers", ""),
		stringFlag(FlagKey, "TLS_KEY_FILE", "file with the private key of the TLS certificate", ""),
	}
}

// stringFlag returns a flag that the environment variable with envPrefix and the given name also sets.
func stringFlag(name, variable, usage, value string) cli.Flag {
	return &cli.StringFlag{Name: name, Sources: cli.EnvVars(envPrefix + variable), Usage: usage, Value: value}
}

// From reads the settings from a command's flags and checks them. An error has kind Invalid.
func From(c *cli.Command) (Settings, error) {
	level, err := zerolog.ParseLevel(c.String(FlagLogLevel))
	if err != nil || level == zerolog.NoLevel {
		return Settings{}, invalidSetting(FlagLogLevel, c.String(FlagLogLevel), "debug, info, warn or error")
	}
	s := Settings{
		VM: types.VMID(c.String(FlagVM)),
		Site: types.Site{
			Region:     types.Region(c.String(FlagRegion)),
			DataCentre: types.DataCentre(c.String(FlagDataCentre)),
		},
		Environment:    envdoc.Name(c.String(FlagEnvironment)),
		CallersAddress: types.Address(c.String(FlagCallers)),
		PeersAddress:   types.Address(c.String(FlagPeers)),
		StoreURL:       c.String(FlagStore),
		StoreRegion:    types.Region(c.String(FlagStoreRegion)),
		VMListURL:      c.String(FlagVMList),
		LogLevel:       level,
		DrainTimeout:   c.Duration(FlagDrain),
		DrainNotice:    c.Duration(FlagNotice),
		CallerTokens:   guard.ParseSecrets(c.String(FlagCallerToken)),
		OperatorTokens: guard.ParseSecrets(c.String(FlagOperToken)),
		PeerKeys:       guard.ParseSecrets(c.String(FlagPeerKey)),
		CertFile:       c.String(FlagCert),
		KeyFile:        c.String(FlagKey),
	}
	for _, seed := range c.StringSlice(FlagSeeds) {
		s.Seeds = append(s.Seeds, types.Address(seed))
	}
	return s, s.Check()
}

// Check returns an error of kind Invalid that names the first invalid setting, its value and the allowed values. Of a
// secret it shows no content.
func (s *Settings) Check() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.DrainTimeout < minDrainTimeout || s.DrainTimeout > maxDrainTimeout {
		return invalidSetting(FlagDrain, s.DrainTimeout.String(), "1s to 10m")
	}
	if s.DrainNotice < 0 || s.DrainNotice > s.DrainTimeout {
		return invalidSetting(FlagNotice, s.DrainNotice.String(), "0s to the drain timeout")
	}
	return s.checkSecrets()
}

func (s *Settings) checkNames() error {
	names := []struct{ flag, value string }{
		{FlagVM, string(s.VM)},
		{FlagRegion, string(s.Site.Region)},
		{FlagDataCentre, string(s.Site.DataCentre)},
		{FlagEnvironment, string(s.Environment)},
		{FlagStoreRegion, string(s.StoreRegion)},
	}
	for _, n := range names {
		if types.CheckName(n.flag, n.value) != nil {
			return invalidSetting(n.flag, n.value, "1 to 63 characters of a-z, 0-9 and -")
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	if err := checkAddress(FlagCallers, s.CallersAddress); err != nil {
		return err
	}
	if err := checkAddress(FlagPeers, s.PeersAddress); err != nil {
		return err
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(FlagSeeds, seed); err != nil {
			return err
		}
	}
	if err := checkURL(FlagStore, s.StoreURL); err != nil {
		return err
	}
	return checkURL(FlagVMList, s.VMListURL)
}

func (s *Settings) checkSecrets() error {
	lists := []struct {
		flag     string
		secrets  []guard.Secret
		minBytes int
	}{
		{FlagCallerToken, s.CallerTokens, guard.MinTokenBytes},
		{FlagOperToken, s.OperatorTokens, guard.MinTokenBytes},
		{FlagPeerKey, s.PeerKeys, guard.MinKeyBytes},
	}
	for _, l := range lists {
		if err := checkSecretList(l.flag, l.secrets, l.minBytes); err != nil {
			return err
		}
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		return invalidSetting(FlagCert, s.CertFile, "both "+FlagCert+" and "+FlagKey+", or neither")
	}
	return nil
}

// checkSecretList returns an error unless there is a secret and each has at least minBytes bytes.
func checkSecretList(flag string, secrets []guard.Secret, minBytes int) error {
	allowed := "one or more, each of at least " + strconv.Itoa(minBytes) + " bytes"
	if len(secrets) == 0 {
		return invalidSetting(flag, "", allowed)
	}
	for _, secret := range secrets {
		if len(secret.Reveal()) < minBytes {
			return invalidSetting(flag, secret.String(), allowed)
		}
	}
	return nil
}

func checkAddress(flag string, address types.Address) error {
	const allowed = "an IP address and a port, for example 10.0.0.4:7400"
	host, port, err := net.SplitHostPort(string(address))
	if err != nil || net.ParseIP(host) == nil {
		return invalidSetting(flag, string(address), allowed)
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 0 || number > maxPort {
		return invalidSetting(flag, string(address), allowed)
	}
	return nil
}

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return invalidSetting(flag, value, "an HTTP or HTTPS URL, for example http://10.0.0.2:2379")
	}
	return nil
}

func invalidSetting(flag, value, allowed string) error {
	return errs.New(errs.Invalid, "setting --%s is %q; allowed: %s", flag, value, allowed)
}
