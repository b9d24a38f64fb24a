package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

const (
	// sides is the number of engines, so that one of them is within the share of machines that
	// freeze (0.12).
	sides = 9
	// rounds is the number of versions that are named, with a freeze in each round.
	rounds = 6
	// freezeTime is how long a side machine stands still. The longest freeze of a share of the side
	// machines in the site file takes 4 s.
	freezeTime = 3500 * time.Millisecond
	// spoilDelay is the time from the start of the freeze until pieces turn bad, spoiledPieces the
	// number of pieces (0.06 of 64).
	spoilDelay    = 100 * time.Millisecond
	spoiledPieces = 3
	// freezeAtRead is the number of pieces that the loader has read back when its machine freezes.
	freezeAtRead = 56
	// roundTime is the time between two versions. All engines hold a version 8 s after its naming.
	roundTime = 13 * time.Second
)

// whole names new weights again and again. Each time, the machine of one loader freezes while the
// loader checks the staged pieces, and pieces turn bad meanwhile.
func whole(dir string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(dir, rec, len(zones), sides, "streaming")
	if err != nil {
		return false, err
	}
	defer d.stop()
	done := make(chan struct{})
	var clients []*sync.WaitGroup
	for i, front := range d.fronts {
		clients = append(clients, client(front, rec, fmt.Sprintf("c%d", i), 50*time.Millisecond, done))
	}
	time.Sleep(2 * time.Second)
	for n := range rounds {
		frozen := make(chan error, 1)
		if trouble {
			d.freezeFirst(frozen)
		}
		version := int64(2 + n)
		end := time.Now().Add(roundTime)
		d.nameVersion(version)
		if trouble {
			select {
			case err := <-frozen:
				if err != nil {
					return false, err
				}
			case <-time.After(roundTime):
				return false, fmt.Errorf("no loader has read the staged pieces of version %d back", version)
			}
		}
		// Requests reach all engines meanwhile.
		time.Sleep(time.Until(end))
		if n := d.holding(version); n == 0 {
			return false, fmt.Errorf("no engine holds version %d", version)
		}
	}
	close(done)
	for _, wg := range clients {
		wg.Wait()
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.line("%d requests have run, %d of them with weights that break WHOLE", rec.runs, len(rec.broken))
	if rec.runs == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return len(rec.broken) > 0, nil
}

// holding returns the number of engines that hold a version.
func (d *deployment) holding(version int64) (n int) {
	for _, e := range d.engines {
		e.mu.Lock()
		if e.weights.version == version {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// freezeFirst freezes the machine of the first loader that checks its staged pieces.
func (d *deployment) freezeFirst(frozen chan<- error) {
	var once sync.Once
	for i, e := range d.engines {
		l := d.loaders[i]
		e.mu.Lock()
		e.verified = func(e *engine, n int) {
			if n == freezeAtRead {
				once.Do(func() { freeze(e, l, d.record, frozen) })
			}
		}
		e.mu.Unlock()
	}
}

// freeze stops a machine, a loader with its engine, for freezeTime, in which staged pieces of the
// engine turn bad.
func freeze(e *engine, l *process, rec *record, frozen chan<- error) {
	if err := l.signal(syscall.SIGSTOP); err != nil {
		frozen <- err
		return
	}
	rec.add("%s and %s stand still, after the loader has read %d of %d pieces back", l.name, e.id, freezeAtRead, pieces)
	go func() {
		e.still.Lock()
		defer e.still.Unlock()
		time.Sleep(spoilDelay)
		e.spoil(rand.Perm(pieces)[:spoiledPieces])
		time.Sleep(freezeTime - spoilDelay)
		rec.add("%s and %s go on", l.name, e.id)
		frozen <- l.signal(syscall.SIGCONT)
	}()
}

// nameVersion names a version as the operator does.
func (d *deployment) nameVersion(version int64) {
	d.store.write("op/version/"+model, map[string]any{"Model": model, "Version": version})
	d.record.add("operator: names version %d", version)
}
