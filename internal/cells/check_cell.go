package cells

// cell checks one cell by itself and against those before it.
func (c *checker) cell(cell *Cell) {
	if !isName(cell.Name) {
		c.say("cell", cell.Name, "", "want a name of 1 to 40 letters, digits, dashes and underscores")
	}
	if c.names[cell.Name] != nil {
		c.say("cell", cell.Name, "", "a second cell of this name")
	}
	c.names[cell.Name] = cell
	c.traffic(cell)
	c.endpoints(cell)
	c.limits(cell)
}

// traffic checks that no carrier and no flight of a cell belongs to another one too.
func (c *checker) traffic(cell *Cell) {
	claim(c, cell, "carriers", "carrier %q", c.carriers, cell.Carriers)
	for _, r := range cell.Flights {
		for _, o := range c.flights {
			if r.Low <= o.High && o.Low <= r.High {
				c.say("cell", cell.Name, "flights", "flight %x is in cell %q too", max(r.Low, o.Low), o.cell)
			}
		}
		c.flights = append(c.flights, ownedRange{r, cell.Name})
	}
}

// endpoints checks which endpoints a cell names, and its share of the rest.
func (c *checker) endpoints(cell *Cell) {
	claim(c, cell, "numbers", "number %d", c.numbers, cell.Numbers)
	claim(c, cell, "rooms", "%q", c.rooms, cell.Rooms)
	claim(c, cell, "kinds", "%q", c.kinds, cell.Kinds)
	claim(c, cell, "ids", "%q", c.ids, cell.IDs)
	if !cell.namesEndpoints() && cell.Share == 0 {
		c.say("cell", cell.Name, "", "an empty cell: no share, numbers, rooms, kinds or ids")
	}
	if !isShare(cell.Share) {
		c.say("cell", cell.Name, "share", "want a figure from 0 to 1")
	} else {
		c.shares += cell.Share
	}
}

// claim notes the names of an attribute as the cell's own; taken has those of the cells before it, and format is how a
// problem calls one.
func claim[K comparable](c *checker, cell *Cell, attribute, format string, taken map[K]string, names []K) {
	for _, name := range names {
		if other, found := taken[name]; found {
			c.say("cell", cell.Name, attribute, format+" is in cell %q too", name, other)
		}
		taken[name] = cell.Name
	}
}

func (c *checker) limits(cell *Cell) {
	if cell.MaxConnections < 0 {
		c.say("cell", cell.Name, "connections", "want a figure above 0")
	}
	if !isRate(cell.MaxOpensPerSecond) {
		c.say("cell", cell.Name, "opens_per_second", "want a figure above 0")
	}
	if cell.MaxGuests < 0 || cell.MaxConnections > 0 && cell.MaxGuests >= cell.MaxConnections {
		c.say("cell", cell.Name, "guests", "want a figure from 0 to under the cell's connections, or its own room is gone")
	}
}

func (cell *Cell) namesEndpoints() bool {
	return len(cell.Numbers)+len(cell.Rooms)+len(cell.Kinds)+len(cell.IDs) > 0
}

// overflow checks the cell that takes what this one cannot.
func (c *checker) overflow(cell *Cell) {
	if cell.OverflowTo == "" {
		return
	}
	say := func(format string, args ...any) { c.say("cell", cell.Name, "overflow_to", format, args...) }
	to := c.names[cell.OverflowTo]
	switch {
	case to == nil:
		say("there is no cell %q", cell.OverflowTo)
		return
	case to.MaxGuests == 0:
		say("cell %q takes no guests", to.Name)
	}
	for seen := 0; to != nil; to = c.names[to.OverflowTo] {
		if to == cell {
			say("an overflow circle")
			return
		}
		if seen++; seen > len(c.names) {
			return // a circle of others, told there
		}
	}
}

func isName(name string) bool {
	for _, c := range []byte(name) {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0 && len(name) <= mostNameLength
}
