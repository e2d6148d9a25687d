// Package settingsreader reads the settings of one node.
package settingsreader

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/registrar"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Defaults of optional settings.
const (
	DefaultGCPercent      = 100
	DefaultLogLevel       = "info"
	DefaultLogLines       = 150
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
	largestBody           = 64 << 20
	largestHeader         = 1 << 20
	minTokenBytes         = 16
	mostGCPercent         = 1000
	mostLogLines          = 100000
	mostLosses            = 10
	smallestHeader        = 1 << 10
)

// ErrInvalid is wrapped by the error of settings that break a rule.
var ErrInvalid = merry.Sentinel("invalid settings")

// Settings is what one node is told at its start.
type Settings struct {
	AdminAddress    netip.AddrPort `json:"admin-address"`
	AdminTokenFile  string         `json:"admin-token-file"`
	AnnounceAddress netip.AddrPort `json:"announce-address"`
	// Bootstrap is true at the first start of the whole deployment, when no replica holds anything.
	Bootstrap      bool           `json:"bootstrap"`
	CallerAddress  netip.AddrPort `json:"caller-address"`
	ControlAddress netip.AddrPort `json:"control-address"`
	DataCentre     string         `json:"data-centre"`
	DataFolder     string         `json:"data-folder"`
	DocumentFile   string         `json:"document-file"`
	// GCPercent is how much the heap may grow between two collections, in percent of what is in use.
	GCPercent int           `json:"gc-percent"`
	LogFormat logger.Format `json:"log-format"`
	// LogLines is how many lines a second are written on requests and on what changes often.
	LogLines       int              `json:"log-lines-per-second"`
	LogLevel       string           `json:"log-level"`
	MaxBodyBytes   int              `json:"max-body-bytes"`
	MaxHeaderBytes int              `json:"max-header-bytes"`
	Name           string           `json:"name"`
	PeerAddress    netip.AddrPort   `json:"peer-address"`
	PeerKeyFile    string           `json:"peer-key-file"`
	Region         string           `json:"region"`
	Seeds          []netip.AddrPort `json:"seeds"`
	// SelfForming lets the register choose its replicas among the nodes with a data folder.
	SelfForming bool `json:"self-forming"`
	// TrustNetwork lets the node run without a shared key and a token, where the network alone keeps
	// others out.
	TrustNetwork bool `json:"trust-network"`
	// ToleratedLosses is the number of replicas whose disks may be lost at once.
	ToleratedLosses int `json:"tolerated-losses"`
	// UpstreamAddress is where the upstream beside the node serves, if that is known beforehand.
	UpstreamAddress netip.AddrPort `json:"upstream-address"`
	// UpstreamLease is how long an announcement holds.
	UpstreamLease validator.Duration `json:"upstream-lease"`
	// UpstreamService is the service of the upstream beside the node, if that is known beforehand.
	UpstreamService string `json:"upstream-service"`
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Load reads and checks the settings in a file. Paths in it are relative to the file's folder. The
// error wraps ErrInvalid and names the file, the field and the value.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, merry.Prepend(err, path)
	}
	settings.resolvePaths(filepath.Dir(path))
	return settings, nil
}

// Parse reads and checks settings written in JSON with comments.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{
		GCPercent:      DefaultGCPercent,
		LogFormat:      logger.FormatLogfmt,
		LogLevel:       DefaultLogLevel,
		LogLines:       DefaultLogLines,
		MaxBodyBytes:   DefaultMaxBodyBytes,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		UpstreamLease:  validator.Duration(registrar.LeaseTime),
	}
	if err := validator.DecodeStrict(data, settings); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	return settings, nil
}

func (s *Settings) resolvePaths(folder string) {
	for _, path := range []*string{&s.AdminTokenFile, &s.DataFolder, &s.DocumentFile, &s.PeerKeyFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

func fail(field string, value any, reason string) error {
	return fmt.Errorf("%w: %s: %q: %s", ErrInvalid, field, fmt.Sprint(value), reason)
}

func (s *Settings) check() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.AdminTokenFile == "" && !s.TrustNetwork {
		return fail("admin-token-file", "", "want the path of a file")
	}
	if s.PeerKeyFile == "" && !s.TrustNetwork {
		return fail("peer-key-file", "", "want the path of a file")
	}
	if s.GCPercent < 1 || s.GCPercent > mostGCPercent {
		return fail("gc-percent", s.GCPercent, fmt.Sprintf("want 1 to %d", mostGCPercent))
	}
	if s.ToleratedLosses < 0 || s.ToleratedLosses > mostLosses {
		return fail("tolerated-losses", s.ToleratedLosses, fmt.Sprintf("want 0 to %d", mostLosses))
	}
	if s.UpstreamLease.Std() <= 0 {
		return fail("upstream-lease", s.UpstreamLease.Std(), "want more than 0s")
	}
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > largestBody {
		return fail("max-body-bytes", s.MaxBodyBytes, fmt.Sprintf("want 1 to %d", largestBody))
	}
	if s.MaxHeaderBytes < smallestHeader || s.MaxHeaderBytes > largestHeader {
		return fail("max-header-bytes", s.MaxHeaderBytes, fmt.Sprintf("want %d to %d", smallestHeader, largestHeader))
	}
	if s.LogLines < 1 || s.LogLines > mostLogLines {
		return fail("log-lines-per-second", s.LogLines, fmt.Sprintf("want 1 to %d", mostLogLines))
	}
	if _, err := logger.New(os.Stderr, s.LogFormat, s.LogLevel); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

func (s *Settings) checkNames() error {
	names := []struct{ field, value string }{
		{"data-centre", s.DataCentre},
		{"name", s.Name},
		{"region", s.Region},
	}
	for _, name := range names {
		if !nameForm.MatchString(name.value) {
			return fail(name.field, name.value, "want 1 to 64 lower-case letters, digits and inner hyphens")
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := []struct {
		field    string
		value    netip.AddrPort
		optional bool
	}{
		{"admin-address", s.AdminAddress, false},
		{"announce-address", s.AnnounceAddress, true},
		{"caller-address", s.CallerAddress, true},
		{"control-address", s.ControlAddress, false},
		{"peer-address", s.PeerAddress, false},
	}
	seen := make(map[netip.AddrPort]string)
	for _, address := range addresses {
		if address.optional && !address.value.IsValid() {
			continue
		}
		if !address.value.IsValid() || address.value.Port() == 0 || address.value.Addr().IsUnspecified() {
			return fail(address.field, address.value, "want the IP and port that others reach, such as 10.0.0.1:8080")
		}
		if other, ok := seen[address.value]; ok {
			return fail(address.field, address.value, "the same as "+other)
		}
		seen[address.value] = address.field
	}
	for i, seed := range s.Seeds {
		if !seed.IsValid() {
			return fail(fmt.Sprintf("seeds[%d]", i), seed, "want an IP and port")
		}
	}
	return nil
}

// Secrets are the contents of the files that the settings name.
type Secrets struct {
	AdminToken []byte
	Key        *signer.Signer
}

// publicKey stands in for a shared key where the settings name none. Then the sums between nodes show
// that a message is whole, and not who has sent it.
const publicKey = "marigoldrelay without a shared key"

// LoadSecrets reads the shared key and the administration token. White space around them is cut. Without
// a token file nobody can sign in to the administration API; without a key file the nodes trust their
// network.
func (s *Settings) LoadSecrets() (*Secrets, error) {
	key, token := []byte(publicKey), []byte(NewSecret())
	var err error
	if s.PeerKeyFile != "" {
		if key, err = readSecret("peer-key-file", s.PeerKeyFile, signer.MinKeyBytes); err != nil {
			return nil, err
		}
	}
	if s.AdminTokenFile != "" {
		if token, err = readSecret("admin-token-file", s.AdminTokenFile, minTokenBytes); err != nil {
			return nil, err
		}
	}
	peers, err := signer.New(key)
	if err != nil {
		return nil, fail("peer-key-file", s.PeerKeyFile, err.Error())
	}
	return &Secrets{AdminToken: token, Key: peers}, nil
}

func readSecret(field, path string, minBytes int) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(field, path, err.Error())
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minBytes {
		return nil, fail(field, path, fmt.Sprintf("the content is shorter than %d bytes", minBytes))
	}
	return secret, nil
}

// LoadDocument reads the document that is in force until the first one from the control replicas.
// It returns nil where the settings name none.
func (s *Settings) LoadDocument() (*validator.Document, error) {
	if s.DocumentFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.DocumentFile)
	if err != nil {
		return nil, fail("document-file", s.DocumentFile, err.Error())
	}
	document, err := validator.Parse(data)
	if err != nil {
		return nil, merry.Prepend(err, s.DocumentFile)
	}
	return document, nil
}

// NewSecret returns a random secret in printable letters and digits.
func NewSecret() string {
	return rand.Text()
}
