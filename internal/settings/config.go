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

// Config is what a balancer on sockets is told at its start.
type Config struct {
	Name, ListenAddr, DiscoveryAddr string
	AdminAddr                       string // the second address, for operators; there may be none
	Seed                            uint64
	MemoryLimitMB                   int64
	MaxSockets                      int
	KnownHosts                      []byte // the list of desk hosts in discovery's form, as last held
	Settings                        Settings
}

// Source is where the configuration comes from: the environment and the file that it names. The file may be
// replaced; it is read again by each Load.
type Source struct {
	getenv          func(string) string
	loaded          bool
	inFile, inForce string          // the address of discovery as the file told it last, and as taken
	keys            map[string]bool // that the file had at the start
}

// NewSource makes a source of an environment.
func NewSource(getenv func(string) string) *Source { return &Source{getenv: getenv} }

// Load reads and checks the whole configuration. The environment, where it speaks, goes before the file; but
// an address of discovery that the file tells anew goes before all else, or a moved discovery could not be
// told to a running balancer.
func (s *Source) Load() (Config, error) {
	c, keys, err := load(s.getenv)
	if err != nil {
		return Config{}, err
	}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if !keys[key] { // danger: a file cut together badly would silently undo what it leaves out
			return Config{}, fmt.Errorf("configuration: lacks %s, which it had at the start", key)
		}
	}
	inFile := c.DiscoveryAddr
	switch told := s.getenv("EDGE_DISCOVERY"); {
	case s.loaded && inFile == s.inFile:
		c.DiscoveryAddr = s.inForce
	case !s.loaded && told != "":
		c.DiscoveryAddr = told
	}
	if c.AdminAddr == c.ListenAddr && c.AdminAddr != "" {
		return Config{}, errors.New("configuration: the second address is the one of the clients")
	}
	if c.ListenAddr == "" || c.DiscoveryAddr == "" {
		return Config{}, errors.New("configuration: no address to listen on, or none of discovery")
	}
	if !s.loaded {
		s.keys = keys
	}
	s.loaded, s.inFile, s.inForce = true, inFile, c.DiscoveryAddr
	return c, nil
}

func load(getenv func(string) string) (c Config, has map[string]bool, err error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return c, nil, errors.New("EDGE_CONFIG names no file")
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
	has = map[string]bool{}
	keys(&jlexer.Lexer{Data: raw}, "", has)
	return c, has, nil
}

// keys collects the keys of an object and of those in it, as paths. What is known of desk hosts has a form of its
// own; classes come and go, so arrays count as values.
func keys(l *jlexer.Lexer, path string, has map[string]bool) {
	l.Delim('{')
	for !l.IsDelim('}') && l.Ok() {
		key := path + l.String()
		has[key] = true
		l.WantColon()
		if l.IsDelim('{') && l.CurrentToken() == jlexer.TokenDelim && key != "known" && strings.Count(key, ".") < deepest {
			keys(l, key+".", has)
		} else {
			l.SkipRecursive()
		}
		l.WantComma()
	}
	l.Delim('}')
}

// deepest bounds the paths: those of settings that the program reads have two dots.
const deepest = 2

// DecodeConfig reads the text of the configuration file.
func DecodeConfig(raw []byte) (Config, error) {
	var c Config
	var told bool
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
				l.AddError(errors.New("the seed is not a hexadecimal number"))
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
			told = true
			set, err := DecodeWhole(l.Raw())
			if err != nil {
				l.AddError(err)
			}
			c.Settings = set
		default:
			l.SkipRecursive()
		}
	})
	l.Consumed()
	if err := l.Error(); err != nil {
		return Config{}, fmt.Errorf("configuration: %v", err)
	}
	if !told {
		return Config{}, errors.New("configuration: no settings")
	}
	return c, nil
}
