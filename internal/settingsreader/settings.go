// Package settingsreader reads and validates the settings of one node.
package settingsreader

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/apportioner"
	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/registrar"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// DefaultRateLimitSettling is the default of Settings.RateLimitSettling.
const DefaultRateLimitSettling = 3 * time.Second

// maxCrossDataCentreCost limits Settings.CrossDataCentreCost. With more, nothing would ever leave for room.
const maxCrossDataCentreCost = 10 * time.Second

// Defaults of optional settings, and limits of settings.
const (
	DefaultGCPercent = 100
	// DefaultMaxAnswerMemoryBytes is the default of Settings.MaxAnswerMemoryBytes where bodies are small beside it.
	DefaultMaxAnswerMemoryBytes = 64 << 20
	DefaultLogLevel             = "info"
	DefaultLogLinesPerSecond    = 150
	DefaultMaxBodyBytes         = 4 << 20
	DefaultMaxHeaderBytes       = 16 << 10
	maxBodyBytesLimit           = 64 << 20
	maxHeaderBytesLimit         = 1 << 20
	minTokenBytes               = 16
	maxGCPercent                = 1000
	maxLogLinesPerSecond        = 100000
	maxToleratedLosses          = 10
	minHeaderBytesLimit         = 1 << 10
	// minBodiesInMemory is how many of the largest bodies must fit into the memory for answers: one exists twice for a moment.
	minBodiesInMemory = 3
	// minDescriptors lets a node open its listeners, and some connections for each of them.
	minDescriptors      = 64
	maxDescriptorsLimit = 1 << 30
	minMemoryMegabytes  = 32
	maxMemoryMegabytes  = 1 << 24
	bytesPerMegabyte    = 1e6
)

// ErrInvalid is wrapped by the errors of settings that can't be read or are not valid.
var ErrInvalid = merry.Sentinel("invalid settings")

// Settings are the settings with which one node starts.
type Settings struct {
	// AdminAddress serves the administration API.
	AdminAddress   netip.AddrPort `json:"admin-address"`
	AdminTokenFile string         `json:"admin-token-file"`
	// AnnounceAddress serves the announcements of the upstream beside the node; it is optional.
	AnnounceAddress netip.AddrPort `json:"announce-address"`
	// Bootstrap is true at the first start of the whole deployment, when no replica holds any data.
	Bootstrap bool `json:"bootstrap"`
	// CallerAddress serves callers' requests; it is optional.
	CallerAddress netip.AddrPort `json:"caller-address"`
	// ControlAddress serves the control traffic between nodes, over TCP and UDP.
	ControlAddress netip.AddrPort `json:"control-address"`
	// CrossDataCentreCost is the time by which an answer from another data centre must be sooner for each KiB that crosses;
	// zero for a fixed cost of each step of distance.
	CrossDataCentreCost validator.Duration `json:"cross-data-centre-cost"`
	DataCentre          string             `json:"data-centre"`
	// DataCentres are the data centres of the deployment; those of the nodes are known without it.
	DataCentres []string `json:"data-centres"`
	// DataFolder holds the data of a control replica; empty for a node that can't become one.
	DataFolder string `json:"data-folder"`
	// DocumentFile holds the document for LoadDocument; empty for none.
	DocumentFile string `json:"document-file"`
	// GCPercent is how much the heap grows until the next garbage collection, in percent of the live heap.
	GCPercent int `json:"gc-percent"`
	// IdempotencyKeys is true if callers' idempotency keys are read: a non-idempotent request with a key runs once.
	IdempotencyKeys bool          `json:"idempotency-keys"`
	LogFormat       logger.Format `json:"log-format"`
	// LogLinesPerSecond limits the lines that are logged about requests and other frequent events.
	LogLinesPerSecond int    `json:"log-lines-per-second"`
	LogLevel          string `json:"log-level"`
	// MaxAnswerMemoryBytes limits what the bodies of answers occupy at once; zero for the default. See AnswerMemoryBytes.
	MaxAnswerMemoryBytes int `json:"max-answer-memory-bytes"`
	MaxBodyBytes         int `json:"max-body-bytes"`
	// MaxBodyMemoryBytes limits what the bodies of requests and answers occupy at once; zero for the default. See Shares.
	MaxBodyMemoryBytes int `json:"max-body-memory-bytes"`
	// MaxDescriptors is the number of files and connections that the process may open; zero for the limit of the operating system.
	MaxDescriptors int `json:"max-descriptors"`
	MaxHeaderBytes int `json:"max-header-bytes"`
	// MemoryMegabytes is the memory of the machine for the process, in millions of bytes; zero if it is not known.
	MemoryMegabytes float64 `json:"memory-megabytes"`
	Name            string  `json:"name"`
	// PeerAddress serves HTTP requests of other nodes, such as forwarded calls.
	PeerAddress netip.AddrPort `json:"peer-address"`
	// PeerKeyFile holds the shared key of all nodes.
	PeerKeyFile string `json:"peer-key-file"`
	// RateLimitSettling is how long after an upstream has first named a rate limit it must be kept.
	RateLimitSettling validator.Duration `json:"rate-limit-settling"`
	Region            string             `json:"region"`
	// Seeds are control addresses of nodes through which the node joins the others.
	Seeds []netip.AddrPort `json:"seeds"`
	// SelfForming makes the nodes choose the register's replicas themselves, among those with a data folder.
	SelfForming bool `json:"self-forming"`
	// TrustNetwork allows the node to run without a shared key and an administration token, for networks that
	// only trusted machines can reach.
	TrustNetwork bool `json:"trust-network"`
	// ToleratedLosses is the number of replicas whose disks can be lost at the same time.
	ToleratedLosses int `json:"tolerated-losses"`
	// UpstreamAddress is the address that the upstream beside the node serves on, if it is known in advance.
	UpstreamAddress netip.AddrPort `json:"upstream-address"`
	// UpstreamLease is how long an announcement is valid without a renewal.
	UpstreamLease validator.Duration `json:"upstream-lease"`
	// UpstreamService is the service of the upstream beside the node, if it is known in advance.
	UpstreamService string `json:"upstream-service"`
}

// namePattern matches the names of nodes, data centres and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Load reads and validates a settings file. Relative paths in it are resolved against the file's folder. The
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
	settings.ResolvePaths(filepath.Dir(path))
	return settings, nil
}

// Parse parses and validates settings written in JSON with comments, and sets the defaults. The error wraps
// ErrInvalid.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{
		GCPercent:         DefaultGCPercent,
		LogFormat:         logger.FormatLogfmt,
		LogLevel:          DefaultLogLevel,
		LogLinesPerSecond: DefaultLogLinesPerSecond,
		MaxBodyBytes:      DefaultMaxBodyBytes,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
		RateLimitSettling: validator.Duration(DefaultRateLimitSettling),
		UpstreamLease:     validator.Duration(registrar.LeaseTime),
	}
	if err := validator.DecodeStrict(data, settings); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return settings, nil
}

// ResolvePaths resolves relative paths against the folder of the settings file.
func (s *Settings) ResolvePaths(folder string) {
	for _, path := range []*string{&s.AdminTokenFile, &s.DataFolder, &s.DocumentFile, &s.PeerKeyFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// AnswerMemoryBytes returns how many bytes the bodies of answers may occupy at once.
func (s *Settings) AnswerMemoryBytes() int {
	if s.MaxAnswerMemoryBytes != 0 {
		return s.MaxAnswerMemoryBytes
	}
	return max(DefaultMaxAnswerMemoryBytes, minBodiesInMemory*s.MaxBodyBytes)
}

// Shares returns the limits on memory and connections. The limit on descriptors is that of the operating system, if the settings
// name none.
func (s *Settings) Shares() apportioner.Shares {
	descriptors := s.MaxDescriptors
	var limit syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxDescriptorsLimit))
	}
	return apportioner.Apportion(apportioner.Resources{
		AnswerBytes: s.AnswerMemoryBytes(), BodyBytes: s.MaxBodyMemoryBytes, Descriptors: descriptors,
		MemoryBytes: int(s.MemoryMegabytes * bytesPerMegabyte),
	})
}

// invalidField returns an error that wraps ErrInvalid and names the field, its value and the reason.
func invalidField(field string, value any, reason string) error {
	return fmt.Errorf("%w: %s: %q: %s", ErrInvalid, field, fmt.Sprint(value), reason)
}

func (s *Settings) validate() error {
	if err := s.validateNames(); err != nil {
		return err
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.AdminTokenFile == "" && !s.TrustNetwork {
		return invalidField("admin-token-file", "", "want the path of a file")
	}
	if s.PeerKeyFile == "" && !s.TrustNetwork {
		return invalidField("peer-key-file", "", "want the path of a file")
	}
	if s.GCPercent < 1 || s.GCPercent > maxGCPercent {
		return invalidField("gc-percent", s.GCPercent, fmt.Sprintf("want 1 to %d", maxGCPercent))
	}
	if s.ToleratedLosses < 0 || s.ToleratedLosses > maxToleratedLosses {
		return invalidField("tolerated-losses", s.ToleratedLosses, fmt.Sprintf("want 0 to %d", maxToleratedLosses))
	}
	if cost := s.CrossDataCentreCost.Std(); cost < 0 || cost > maxCrossDataCentreCost {
		return invalidField("cross-data-centre-cost", cost, fmt.Sprintf("want 0s to %s", maxCrossDataCentreCost))
	}
	if s.RateLimitSettling.Std() < 0 {
		return invalidField("rate-limit-settling", s.RateLimitSettling.Std(), "want 0s or more")
	}
	if s.UpstreamLease.Std() <= 0 {
		return invalidField("upstream-lease", s.UpstreamLease.Std(), "want more than 0s")
	}
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyBytesLimit {
		return invalidField("max-body-bytes", s.MaxBodyBytes, fmt.Sprintf("want 1 to %d", maxBodyBytesLimit))
	}
	if least := minBodiesInMemory * s.MaxBodyBytes; s.MaxAnswerMemoryBytes != 0 && s.MaxAnswerMemoryBytes < least {
		return invalidField("max-answer-memory-bytes", s.MaxAnswerMemoryBytes, fmt.Sprintf("want %d, three times max-body-bytes, or more", least))
	}
	if err := s.validateMemory(); err != nil {
		return err
	}
	if s.MaxHeaderBytes < minHeaderBytesLimit || s.MaxHeaderBytes > maxHeaderBytesLimit {
		return invalidField("max-header-bytes", s.MaxHeaderBytes, fmt.Sprintf("want %d to %d", minHeaderBytesLimit, maxHeaderBytesLimit))
	}
	if s.LogLinesPerSecond < 1 || s.LogLinesPerSecond > maxLogLinesPerSecond {
		return invalidField("log-lines-per-second", s.LogLinesPerSecond, fmt.Sprintf("want 1 to %d", maxLogLinesPerSecond))
	}
	if _, err := logger.New(os.Stderr, s.LogFormat, s.LogLevel); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

func (s *Settings) validateMemory() error {
	if least := minBodiesInMemory * s.MaxBodyBytes; s.MaxBodyMemoryBytes != 0 && s.MaxBodyMemoryBytes < least {
		return invalidField("max-body-memory-bytes", s.MaxBodyMemoryBytes, fmt.Sprintf("want %d, three times max-body-bytes, or more", least))
	}
	if s.MaxDescriptors != 0 && (s.MaxDescriptors < minDescriptors || s.MaxDescriptors > maxDescriptorsLimit) {
		return invalidField("max-descriptors", s.MaxDescriptors, fmt.Sprintf("want %d to %d, or 0", minDescriptors, maxDescriptorsLimit))
	}
	if s.MemoryMegabytes != 0 && (s.MemoryMegabytes < minMemoryMegabytes || s.MemoryMegabytes > maxMemoryMegabytes) {
		return invalidField("memory-megabytes", s.MemoryMegabytes, fmt.Sprintf("want %d to %d, or 0", minMemoryMegabytes, maxMemoryMegabytes))
	}
	return nil
}

func (s *Settings) validateNames() error {
	names := []struct{ field, value string }{
		{"data-centre", s.DataCentre},
		{"name", s.Name},
		{"region", s.Region},
	}
	for i, dataCentre := range s.DataCentres {
		names = append(names, struct{ field, value string }{fmt.Sprintf("data-centres[%d]", i), dataCentre})
	}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			return invalidField(name.field, name.value, "want 1 to 64 lower-case letters, digits and inner hyphens")
		}
	}
	return nil
}

func (s *Settings) validateAddresses() error {
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
	fieldOf := make(map[netip.AddrPort]string)
	for _, address := range addresses {
		if address.optional && !address.value.IsValid() {
			continue
		}
		if !dialer.IsHost(address.value) {
			return invalidField(address.field, address.value, "want the IP and port that others reach, such as 10.0.0.1:8080")
		}
		if other, ok := fieldOf[address.value]; ok {
			return invalidField(address.field, address.value, "the same as "+other)
		}
		fieldOf[address.value] = address.field
	}
	for i, seed := range s.Seeds {
		if !seed.IsValid() {
			return invalidField(fmt.Sprintf("seeds[%d]", i), seed, "want an IP and port")
		}
	}
	return nil
}

// Secrets holds the secrets from the files that the settings name.
type Secrets struct {
	// AdminToken is the token that clients of the administration API present.
	AdminToken []byte
	// PeerSigner signs and verifies messages between nodes with the shared key.
	PeerSigner *signer.Signer
}

// defaultPeerKey replaces the shared key if the settings name none. Signatures with this public value show that
// a message between nodes is complete, but not who sent it.
const defaultPeerKey = "marigoldrelay without a shared key"

// LoadSecrets reads the shared key and the administration token and removes the white space around them.
// Without a token file the token is random, so that no operator can sign in to the administration API;
// without a key file the nodes trust their network. The error wraps ErrInvalid.
func (s *Settings) LoadSecrets() (*Secrets, error) {
	key, token := []byte(defaultPeerKey), []byte(NewSecret())
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
	peerSigner, err := signer.New(key)
	if err != nil {
		return nil, invalidField("peer-key-file", s.PeerKeyFile, err.Error())
	}
	return &Secrets{AdminToken: token, PeerSigner: peerSigner}, nil
}

// readSecret reads a secret of at least minBytes bytes from the file that the field names.
func readSecret(field, path string, minBytes int) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, invalidField(field, path, err.Error())
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minBytes {
		return nil, invalidField(field, path, fmt.Sprintf("the content is shorter than %d bytes", minBytes))
	}
	return secret, nil
}

// LoadDocument reads the document that is in force until the control replicas have one. It returns nil if the
// settings name no document file.
func (s *Settings) LoadDocument() (*validator.Document, error) {
	if s.DocumentFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.DocumentFile)
	if err != nil {
		return nil, invalidField("document-file", s.DocumentFile, err.Error())
	}
	document, err := validator.Parse(data)
	if err != nil {
		return nil, merry.Prepend(err, s.DocumentFile)
	}
	return document, nil
}

// NewSecret returns a random secret of printable letters and digits.
func NewSecret() string {
	return rand.Text()
}
