package main

// straight fits y = at0 + slope*x by least squares.
func straight(xs, ys []float64) (slope, at0 float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// plane fits calls = a + perEntry*entries + perAgent*agents by least squares.
func plane(all []sample) (perEntry, perAgent float64) {
	n := float64(len(all))
	var me, ma, mc float64
	for _, s := range all {
		me, ma, mc = me+float64(s.entries)/n, ma+float64(s.agents)/n, mc+s.calls/n
	}
	var ee, aa, ea, ec, ac float64
	for _, s := range all {
		e, a, c := float64(s.entries)-me, float64(s.agents)-ma, s.calls-mc
		ee, aa, ea, ec, ac = ee+e*e, aa+a*a, ea+e*a, ec+e*c, ac+a*c
	}
	det := ee*aa - ea*ea
	return (ec*aa - ac*ea) / det, (ac*ee - ec*ea) / det
}
