// Package sitegen generates random deployments: the operators' site file, in TOML, from a seed alone. It is pure. The
// program must not be tuned to one deployment, so the generated ones differ along the axes to which its settings
// respond (Axes). Every value lies within the ranges that the operators' documentation and their own deployments show.
// The names of classes, tenants and zones are neutral words.
package sitegen

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Site is a generated deployment.
type Site struct {
	Name string // name of the deployment, its folder and its file
	Axes Axes
	TOML []byte
}

// CompanionFiles are the files that must lie beside the site file. They describe the protocol, which is the same for
// every site, and so are not generated.
var CompanionFiles = []string{"wire.json", "real.json"}

// Generate returns the deployment of a seed. The same seed always gives the same bytes.
func Generate(seed uint64) (*Site, error) {
	rng := &sampler{newRand(seed)}
	axes := drawAxes(rng)
	f := drawSiteFile(rng, &axes)
	body, err := toml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("site of seed %d: %w", seed, err)
	}
	text := headerComment(seed, &axes) + "\n" + string(body)
	return &Site{Name: f.Name, Axes: axes, TOML: []byte(text)}, nil
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seedStream)) }

// seedStream keeps these random numbers apart from other uses of the same seed.
const seedStream = 0x517e

// headerComment is the paragraph at the top of the file.
func headerComment(seed uint64, a *Axes) string {
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

// commentWidth is the length of the longest line in the header comment.
const commentWidth = 120
