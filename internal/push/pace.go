package push

// pacer steers the filler runs of one target.
type pacer struct {
	percent int
}

func (d *driver) pace(Listing) {}
