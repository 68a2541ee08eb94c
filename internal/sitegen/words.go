package sitegen

// The words from which names are made. They are neutral: none refers to an industry or a real place.
var (
	siteFirstWords  = []string{"amber", "blue", "calm", "dusk", "even", "fern", "grey", "high", "iron", "lone", "mild", "oak"}
	siteSecondWords = []string{"arch", "brook", "crest", "dell", "edge", "ford", "glade", "hollow", "knoll", "ledge", "ridge", "vale"}
	zoneWords       = []string{"alder", "birch", "cedar", "elm", "hazel", "larch", "maple", "rowan", "spruce", "willow"}
	tenantWords     = []string{"copper", "flint", "garnet", "jasper", "marble", "nickel", "opal", "pewter", "quartz", "slate"}
	kindWords       = []string{"finch", "heron", "kite", "lark", "plover", "robin", "swift", "wren"}
	classVerbs      = []string{"ask", "fetch", "keep", "list", "mark", "name", "open", "read", "send", "sort", "tell", "write"}
	classNouns      = []string{"box", "card", "disc", "file", "grid", "leaf", "note", "page", "reel", "sheet", "tile", "wheel"}
)

func (rng *sampler) siteName() string {
	return pickOne(rng, siteFirstWords) + "-" + pickOne(rng, siteSecondWords)
}

func (rng *sampler) classNames(n int) []string {
	first, second := sample(rng, classVerbs, n), sample(rng, classNouns, n)
	names := make([]string, n)
	for i := range names {
		names[i] = first[i] + "-" + second[i]
	}
	return names
}
