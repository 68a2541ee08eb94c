// Package sitegen draws deployments that nobody has looked at: the operators' site file, TOML, from a seed alone. It is
// pure. Every value lies within the ranges that the operators' pages and their own deployments show; names of classes,
// tenants and zones are neutral words. The program must not be fitted to one deployment, so the drawn ones differ in the
// axes that its settings turn on (Axes).
package sitegen

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Site is a drawn deployment.
type Site struct {
	Name string // of the deployment, its folder and its file
	Axes Axes
	TOML []byte
}

// CompanionFiles names the files that the site file needs beside it. They are the words of the protocol, which every site speaks,
// and so are not drawn.
var CompanionFiles = []string{"wire.json", "real.json"}

// Generate makes the deployment of a seed: the same bytes for the same seed.
func Generate(seed uint64) (*Site, error) {
	d := &dice{newRand(seed)}
	axes := drawAxes(d)
	f := draft(d, &axes)
	body, err := toml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("site of seed %d: %w", seed, err)
	}
	text := comment(seed, &axes) + "\n" + string(body)
	return &Site{Name: f.Name, Axes: axes, TOML: []byte(text)}, nil
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// stream keeps these draws apart from others of the same seed.
const stream = 0x517e

// comment is the paragraph at the top of the file.
func comment(seed uint64, a *Axes) string {
	words := strings.Fields(fmt.Sprintf("Written by `bin/lab site --seed %d`; not to be edited. What it covers: %s.", seed, a))
	var text strings.Builder
	line := "#"
	for _, word := range words {
		if len(line)+1+len(word) > commentWidth {
			text.WriteString(line + "\n")
			line = "#"
		}
		line += " " + word
	}
	text.WriteString(line + "\n")
	return text.String()
}

const commentWidth = 120
