package settings

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/mailru/easyjson/jlexer"
)

// Config is what a balancer on sockets is told at its start.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	MemoryMB                int64
	Sockets                 int
	Known                   []byte // the list of desk hosts in discovery's form, as last held
	Settings                Settings
}

// Load reads the configuration; the environment, where it speaks, goes before the file.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return Config{}, errors.New("EDGE_CONFIG names no file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := DecodeConfig(raw)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	if c.Listen == "" || c.Discovery == "" {
		return Config{}, errors.New("configuration: no address to listen on, or none of discovery")
	}
	return c, nil
}

// DecodeConfig reads the text of the configuration file.
func DecodeConfig(raw []byte) (Config, error) {
	var c Config
	var told bool
	l := &jlexer.Lexer{Data: raw}
	Object(l, func(field string) {
		switch field {
		case "name":
			c.Name = l.String()
		case "listen":
			c.Listen = l.String()
		case "discovery":
			c.Discovery = l.String()
		case "seed":
			seed, err := strconv.ParseUint(l.String(), 16, 64)
			if err != nil {
				l.AddError(errors.New("the seed is not a hexadecimal number"))
			}
			c.Seed = seed
		case "limits":
			Object(l, func(field string) {
				switch field {
				case "memory_mb":
					c.MemoryMB = l.Int64()
				case "sockets":
					c.Sockets = l.Int()
				default:
					l.SkipRecursive()
				}
			})
		case "known":
			c.Known = l.Raw()
		case "settings":
			told = true
			set, err := Decode(l.Raw())
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
	if !told || len(c.Settings.Policy.Classes) == 0 {
		return Config{}, errors.New("configuration: no settings, or settings without classes")
	}
	return c, nil
}
