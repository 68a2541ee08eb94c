package settings

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/mailru/easyjson/jlexer"
)

// Config is the configuration of a real balancer, one that serves sockets.
type Config struct {
	Name, ListenAddr, DiscoveryAddr string
	AdminAddr                       string // second address, for operators; optional
	Seed                            uint64
	MemoryLimitMB                   int64
	MaxSockets                      int
	KnownHosts                      []byte // the last known host list, as JSON in discovery's format
	Settings                        Settings
}

// Source loads the configuration from the environment and the file that it names. The file may be replaced; each Load
// reads it again.
type Source struct {
	getenv              func(string) string
	hasLoaded           bool
	fileDiscoveryAddr   string          // in the file that was last loaded
	activeDiscoveryAddr string          // in the Config that was last returned
	initialKeys         map[string]bool // in the file that was loaded first
}

// NewSource returns a Source that looks up environment variables with getenv.
func NewSource(getenv func(string) string) *Source { return &Source{getenv: getenv} }

// Load reads and checks the configuration. Environment variables take precedence over the file, except that a discovery
// address which has changed in the file takes precedence over EDGE_DISCOVERY: otherwise a running balancer could not be
// given a new one.
func (s *Source) Load() (Config, error) {
	c, keys, err := readConfig(s.getenv)
	if err != nil {
		return Config{}, err
	}
	for _, key := range slices.Sorted(maps.Keys(s.initialKeys)) {
		// Without this check, a file that was assembled incorrectly would silently reset the settings that it omits.
		if !keys[key] {
			return Config{}, fmt.Errorf("configuration: key %s is missing, but was present at the start", key)
		}
	}
	fromFile := c.DiscoveryAddr
	switch fromEnv := s.getenv("EDGE_DISCOVERY"); {
	case s.hasLoaded && fromFile == s.fileDiscoveryAddr:
		c.DiscoveryAddr = s.activeDiscoveryAddr
	case !s.hasLoaded && fromEnv != "":
		c.DiscoveryAddr = fromEnv
	}
	if c.AdminAddr == c.ListenAddr && c.AdminAddr != "" {
		return Config{}, errors.New("configuration: admin address and listen address are the same")
	}
	if c.ListenAddr == "" || c.DiscoveryAddr == "" {
		return Config{}, errors.New("configuration: no address to listen on, or no address of discovery")
	}
	if !s.hasLoaded {
		s.initialKeys = keys
	}
	s.hasLoaded, s.fileDiscoveryAddr, s.activeDiscoveryAddr = true, fromFile, c.DiscoveryAddr
	return c, nil
}

// readConfig reads the configuration file and applies the environment variables other than EDGE_DISCOVERY. keys is the
// set of keys in the file.
func readConfig(getenv func(string) string) (c Config, keys map[string]bool, err error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return c, nil, errors.New("EDGE_CONFIG is not set; it must name the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, nil, fmt.Errorf("configuration: %w", err)
	}
	if c, err = DecodeConfig(raw); err != nil {
		return c, nil, err
	}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.ListenAddr,
		"EDGE_ADMIN_ADDR": &c.AdminAddr} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	keys = map[string]bool{}
	collectKeys(&jlexer.Lexer{Data: raw}, "", keys)
	return c, keys, nil
}

// collectKeys adds the keys of an object and of the objects in it to keys, as dotted paths. It does not descend into
// the list of known hosts, which has a format of its own, or into arrays, as classes may be added and removed.
func collectKeys(l *jlexer.Lexer, path string, keys map[string]bool) {
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		key := path + l.String()
		keys[key] = true
		l.WantColon()
		if l.IsDelim('{') && l.CurrentToken() == jlexer.TokenDelim && key != "known" && strings.Count(key, ".") < maxKeyDots {
			collectKeys(l, key+".", keys)
		} else {
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
}

// maxKeyDots bounds the depth of collectKeys; no key that the program reads has more than two dots.
const maxKeyDots = 2

// DecodeConfig parses the text of a configuration file.
func DecodeConfig(raw []byte) (Config, error) {
	var c Config
	var hasSettings bool
	l := &jlexer.Lexer{Data: raw}
	ForEachField(l, func(field string) {
		switch field {
		case "name":
			c.Name = l.String()
		case "listen":
			c.ListenAddr = l.String()
		case "discovery":
			c.DiscoveryAddr = l.String()
		case "admin_addr":
			c.AdminAddr = l.String()
		case "seed":
			seed, err := strconv.ParseUint(l.String(), 16, 64)
			if err != nil {
				l.AddError(errors.New("seed is not a hexadecimal number"))
			}
			c.Seed = seed
		case "limits":
			ForEachField(l, func(field string) {
				switch field {
				case "memory_mb":
					c.MemoryLimitMB = l.Int64()
				case "sockets":
					c.MaxSockets = l.Int()
				default:
					l.SkipRecursive()
				}
			})
		case "known":
			c.KnownHosts = l.Raw()
		case "settings":
			hasSettings = true
			settings, err := DecodeStrict(l.Raw())
			if err != nil {
				l.AddError(err)
			}
			c.Settings = settings
		default:
			l.SkipRecursive()
		}
	})
	l.Consumed()
	if err := l.Error(); err != nil {
		return Config{}, fmt.Errorf("configuration: %v", err)
	}
	if !hasSettings {
		return Config{}, errors.New("configuration: key settings is missing")
	}
	return c, nil
}
