package cells

// checkCell checks one cell, and that it does not conflict with those before it.
func (c *validator) checkCell(cell *Cell) {
	if !isValidName(cell.Name) {
		c.report("cell", cell.Name, "", "name must be 1 to 40 letters, digits, dashes and underscores")
	}
	if c.cellsByName[cell.Name] != nil {
		c.report("cell", cell.Name, "", "duplicate cell name")
	}
	c.cellsByName[cell.Name] = cell
	c.checkTraffic(cell)
	c.checkHosts(cell)
	c.checkLimits(cell)
}

// checkTraffic checks that no carrier or flight of a cell belongs to an earlier one.
func (c *validator) checkTraffic(cell *Cell) {
	claim(c, cell, "carriers", "carrier %q", c.carriers, cell.Carriers)
	for _, r := range cell.Flights {
		for _, other := range c.flights {
			if r.Low <= other.High && other.Low <= r.High {
				c.report("cell", cell.Name, "flights", "flight %x is already in cell %q", max(r.Low, other.Low), other.cell)
			}
		}
		c.flights = append(c.flights, ownedRange{r, cell.Name})
	}
}

// checkHosts checks a cell's host selectors and its share.
func (c *validator) checkHosts(cell *Cell) {
	claim(c, cell, "numbers", "number %d", c.numbers, cell.Numbers)
	claim(c, cell, "rooms", "%q", c.rooms, cell.Rooms)
	claim(c, cell, "kinds", "%q", c.kinds, cell.Kinds)
	claim(c, cell, "ids", "%q", c.ids, cell.IDs)
	if !cell.selectsHosts() && cell.Share == 0 {
		c.report("cell", cell.Name, "", "cell selects no hosts: it needs a share, numbers, rooms, kinds or ids")
	}
	if !isShare(cell.Share) {
		c.report("cell", cell.Name, "share", "must be between 0 and 1")
	} else {
		c.shares += cell.Share
	}
}

// claim records that the names of an attribute belong to a cell, and reports those that an earlier cell has. taken maps
// names to cells; format describes a name in the message.
func claim[K comparable](c *validator, cell *Cell, attribute, format string, taken map[K]string, names []K) {
	for _, name := range names {
		if other, found := taken[name]; found {
			c.report("cell", cell.Name, attribute, format+" is already in cell %q", name, other)
		}
		taken[name] = cell.Name
	}
}

func (c *validator) checkLimits(cell *Cell) {
	if cell.MaxConnections < 0 {
		c.report("cell", cell.Name, "connections", "must be greater than 0")
	}
	if !isRate(cell.MaxOpensPerSecond) {
		c.report("cell", cell.Name, "opens_per_second", "must be greater than 0")
	}
	if cell.MaxGuests < 0 || cell.MaxConnections > 0 && cell.MaxGuests >= cell.MaxConnections {
		c.report("cell", cell.Name, "guests", "must be at least 0 and less than connections, or guests could use up the cell's whole capacity")
	}
}

func (cell *Cell) selectsHosts() bool {
	return len(cell.Numbers)+len(cell.Rooms)+len(cell.Kinds)+len(cell.IDs) > 0
}

// checkOverflow checks a cell's overflow target.
func (c *validator) checkOverflow(cell *Cell) {
	if cell.OverflowTo == "" {
		return
	}
	report := func(format string, args ...any) { c.report("cell", cell.Name, "overflow_to", format, args...) }
	to := c.cellsByName[cell.OverflowTo]
	switch {
	case to == nil:
		report("unknown cell %q", cell.OverflowTo)
		return
	case to.MaxGuests == 0:
		report("cell %q accepts no guests", to.Name)
	}
	for seen := 0; to != nil; to = c.cellsByName[to.OverflowTo] {
		if to == cell {
			report("overflow_to forms a cycle")
			return
		}
		if seen++; seen > len(c.cellsByName) {
			return // a cycle that does not include this cell; reported for the cells in it
		}
	}
}

func isValidName(name string) bool {
	for _, c := range []byte(name) {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return len(name) > 0 && len(name) <= maxNameLength
}
