package cells

import "time"

// Allows tells whether an attempt may be written now, as the module that sent it sees it.
func (f *Fleet) Allows(now time.Duration, id string) bool {
	e := f.entries[id]
	return e != nil && e.out && !e.gone && e.cell.module.Allows(now, id)
}
