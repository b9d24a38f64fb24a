package main

// fitLine fits y = intercept + slope*x by least squares.
func fitLine(xs, ys []float64) (slope, intercept float64) {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+ys[i], sumXX+x*x, sumXY+x*ys[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// fitPlane fits calls = a + perEntry*entries + perAgent*agents by least squares.
func fitPlane(samples []sample) (perEntry, perAgent float64) {
	n := float64(len(samples))
	var meanEntries, meanAgents, meanCalls float64
	for _, s := range samples {
		meanEntries, meanAgents, meanCalls = meanEntries+float64(s.entries)/n, meanAgents+float64(s.agents)/n, meanCalls+s.calls/n
	}
	var ee, aa, ea, ec, ac float64
	for _, s := range samples {
		e, a, c := float64(s.entries)-meanEntries, float64(s.agents)-meanAgents, s.calls-meanCalls
		ee, aa, ea, ec, ac = ee+e*e, aa+a*a, ea+e*a, ec+e*c, ac+a*c
	}
	det := ee*aa - ea*ea
	return (ec*aa - ac*ea) / det, (ac*ee - ec*ea) / det
}
