// Package diskfaker simulates a disk in memory, with losses of power and refused operations, for the tests of what is
// stored in files.
package diskfaker

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

// Errors of the operations of a Disk.
var (
	// ErrNoPower is wrapped by the error of every operation from a loss of power until LosePower.
	ErrNoPower = merry.Sentinel("no power")
	// ErrRefused is wrapped by the error of an operation that the disk refuses.
	ErrRefused = merry.Sentinel("the disk refuses the operation")
)

// Operation identifies an operation that changes the disk.
type Operation string

// The operations that change the disk.
const (
	OperationCreate     Operation = "create"
	OperationMkdir      Operation = "mkdir"
	OperationRename     Operation = "rename"
	OperationSync       Operation = "sync"
	OperationSyncFolder Operation = "sync-folder"
	OperationWrite      Operation = "write"
)

// Chooser returns a number from 0 up to, but not including, n.
type Chooser func(n int) int

// Disk is a file system in memory. A loss of power keeps the content of a file as its last sync left it; each later
// write is kept, lost or torn, and each later creation or renaming of a name is kept or lost, independently. It is
// safe for concurrent use.
type Disk struct {
	mu    sync.Mutex
	names map[string]*file
	// syncedNames and changes hold the names as they are after a loss of power: the synced ones, and the changes since, of
	// which each is kept or lost.
	syncedNames map[string]*file
	changes     []nameChange
	// beforeOperation decides whether an operation takes place; nil allows all.
	beforeOperation func(Operation) error
	noPower         bool
}

// file is a file or a folder.
type file struct {
	isFolder bool
	content  []byte
	// synced and writes hold the content as it is after a loss of power.
	synced []byte
	writes []func(content []byte, choose Chooser) []byte
}

// nameChange is a change of names that is not synced yet: path stands for the file, and from, if any, for none.
type nameChange struct {
	file       *file
	from, path string
}

// New returns an empty disk with a root folder.
func New() *Disk {
	root := map[string]*file{"/": {isFolder: true}}
	return &Disk{names: root, syncedNames: maps.Clone(root)}
}

// SetBeforeOperation sets the function that is called before each operation that changes the disk. If it returns an
// error, the operation fails with it; an error that wraps ErrNoPower makes all further operations fail as well.
func (d *Disk) SetBeforeOperation(f func(Operation) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beforeOperation = f
}

// LosePower leaves on the disk what a loss of power leaves, and restores the power. choose selects the outcome for each
// change that was not synced; 0 loses it.
func (d *Disk) LosePower(choose Chooser) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.changes {
		if choose(2) == 0 {
			continue
		}
		delete(d.syncedNames, change.from)
		d.syncedNames[change.path] = change.file
	}
	for _, path := range slices.Sorted(maps.Keys(d.syncedNames)) {
		d.syncedNames[path].losePower(choose)
		if _, ok := d.syncedNames[filepath.Dir(path)]; !ok {
			delete(d.syncedNames, path)
		}
	}
	d.names, d.changes, d.noPower = maps.Clone(d.syncedNames), nil, false
}

func (f *file) losePower(choose Chooser) {
	for _, write := range f.writes {
		f.synced = write(f.synced, choose)
	}
	f.content, f.writes = slices.Clone(f.synced), nil
}

// begin reports whether the operation can take place.
func (d *Disk) begin(operation Operation) error {
	if !d.noPower && d.beforeOperation != nil {
		err := d.beforeOperation(operation)
		d.noPower = errors.Is(err, ErrNoPower)
		return err
	}
	return d.checkPower()
}

func (d *Disk) checkPower() error {
	if d.noPower {
		return ErrNoPower
	}
	return nil
}

// Create implements persister.FileSystem.
func (d *Disk) Create(path string) (persister.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OperationCreate); err != nil {
		return nil, err
	}
	if d.names[filepath.Dir(path)] == nil {
		return nil, fmt.Errorf("%w: %s", os.ErrNotExist, path)
	}
	f := d.names[path]
	if f == nil {
		f = &file{}
		d.names[path] = f
		d.changes = append(d.changes, nameChange{file: f, path: path})
	}
	f.content = nil
	f.writes = append(f.writes, truncate)
	return &openFile{disk: d, file: f}, nil
}

// truncate is the pending write of a file that was made empty.
func truncate(content []byte, choose Chooser) []byte {
	if choose(2) == 0 {
		return content
	}
	return nil
}

// Lock implements persister.FileSystem. A disk belongs to one process at a time, so the lock is always granted.
func (d *Disk) Lock(string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return io.NopCloser(nil), d.checkPower()
}

// Mkdir implements persister.FileSystem.
func (d *Disk) Mkdir(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] != nil {
		return fmt.Errorf("%w: %s", os.ErrExist, path)
	}
	if d.names[filepath.Dir(path)] == nil {
		return fmt.Errorf("%w: %s", os.ErrNotExist, path)
	}
	if err := d.begin(OperationMkdir); err != nil {
		return err
	}
	d.names[path] = &file{isFolder: true}
	d.changes = append(d.changes, nameChange{file: d.names[path], path: path})
	return nil
}

// ReadFile implements persister.FileSystem.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[path]
	if f == nil {
		return nil, fmt.Errorf("%w: %s", os.ErrNotExist, path)
	}
	return slices.Clone(f.content), d.checkPower()
}

// ReadNames implements persister.FileSystem.
func (d *Disk) ReadNames(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for path := range d.names {
		if filepath.Dir(path) == folder && path != folder {
			names = append(names, filepath.Base(path))
		}
	}
	return names, d.checkPower()
}

// Rename implements persister.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OperationRename); err != nil {
		return err
	}
	f := d.names[from]
	if f == nil {
		return fmt.Errorf("%w: %s", os.ErrNotExist, from)
	}
	delete(d.names, from)
	d.names[to] = f
	d.changes = append(d.changes, nameChange{file: f, from: from, path: to})
	return nil
}

// SyncFolder implements persister.FileSystem.
func (d *Disk) SyncFolder(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OperationSyncFolder); err != nil {
		return err
	}
	d.syncNames(func(change nameChange) bool { return filepath.Dir(change.path) == path })
	return nil
}

// syncNames makes the changes for which matches returns true survive a loss of power.
func (d *Disk) syncNames(matches func(nameChange) bool) {
	var rest []nameChange
	for _, change := range d.changes {
		if !matches(change) {
			rest = append(rest, change)
			continue
		}
		delete(d.syncedNames, change.from)
		d.syncedNames[change.path] = change.file
	}
	d.changes = rest
}

// Wipe makes the disk empty.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := New()
	d.names, d.syncedNames, d.changes, d.noPower = fresh.names, fresh.syncedNames, nil, false
}

// openFile is a file of a disk that is open for writing.
type openFile struct {
	disk *Disk
	file *file
}

// Write implements persister.File. A write that the disk refuses still leaves its first half.
func (o *openFile) Write(data []byte) (int, error) {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	err := o.disk.begin(OperationWrite)
	if err != nil {
		data = data[:len(data)/2]
	}
	data, offset := slices.Clone(data), len(o.file.content)
	o.file.content = append(o.file.content, data...)
	o.file.writes = append(o.file.writes, func(content []byte, choose Chooser) []byte {
		return overwrite(content, offset, data, choose)
	})
	return len(data), err
}

// overwrite returns the content after a write that was kept, lost or torn at its middle.
func overwrite(content []byte, offset int, data []byte, choose Chooser) []byte {
	const outcomes = 4
	half := len(data) / 2
	from, to := 0, len(data)
	switch choose(outcomes) {
	case 0:
		return content
	case 1:
		to = half
	case 2:
		from = half
	}
	missing := offset + to - len(content)
	result := append(slices.Clone(content), bytes.Repeat([]byte{0}, max(0, missing))...)
	copy(result[offset+from:], data[from:to])
	return result
}

// Sync implements persister.File. It makes the file's name survive as well if the file is new.
func (o *openFile) Sync() error {
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if err := o.disk.begin(OperationSync); err != nil {
		return err
	}
	o.file.synced, o.file.writes = slices.Clone(o.file.content), nil
	o.disk.syncNames(func(change nameChange) bool { return change.file == o.file && change.from == "" })
	return nil
}

// Close implements persister.File.
func (o *openFile) Close() error {
	return nil
}
