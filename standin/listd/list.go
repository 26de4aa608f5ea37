package main

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"lentilstage.dev/wire/wire"
)

type (
	// instanceList holds the instances and the snapshots that are not visible to readers yet.
	instanceList struct {
		mutex     sync.Mutex
		lag       time.Duration
		instances map[string]wire.Instance
		// mirrored holds the cloud API's instances; those in instances take precedence.
		mirrored map[string]wire.Instance
		// snapshots are in order of time; readers see the first one.
		snapshots []wire.InstanceList
	}
)

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{
		lag:       lag,
		instances: map[string]wire.Instance{},
		mirrored:  map[string]wire.Instance{},
		snapshots: []wire.InstanceList{{Instances: []wire.Instance{}}},
	}
}

func (l *instanceList) put(instance wire.Instance, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.instances[instance.ID] = instance
	l.addSnapshot(now)
}

func (l *instanceList) remove(id string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, found := l.instances[id]; !found {
		return false
	}
	delete(l.instances, id)
	l.addSnapshot(now)
	return true
}

// replaceMirrored replaces the mirrored instances with the cloud API's current ones.
func (l *instanceList) replaceMirrored(instances []wire.Instance, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	next := map[string]wire.Instance{}
	for _, i := range instances {
		next[i.ID] = i
	}
	if reflect.DeepEqual(next, l.mirrored) {
		return
	}
	l.mirrored = next
	l.addSnapshot(now)
}

// addSnapshot adds a snapshot of the current instances with the next version. The caller holds the
// lock.
func (l *instanceList) addSnapshot(now time.Time) {
	all := maps.Clone(l.mirrored)
	maps.Copy(all, l.instances)
	byID := func(a, b wire.Instance) int { return cmp.Compare(a.ID, b.ID) }
	l.snapshots = append(l.snapshots, wire.InstanceList{
		Version:   l.snapshots[len(l.snapshots)-1].Version + 1,
		Time:      now.UTC(),
		Instances: append([]wire.Instance{}, slices.SortedFunc(maps.Values(all), byID)...),
	})
}

// visible returns the newest snapshot that is at least as old as the lag.
func (l *instanceList) visible(now time.Time) wire.InstanceList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.snapshots) > 1 && now.Sub(l.snapshots[1].Time) >= l.lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0]
}
