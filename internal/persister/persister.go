// Package persister stores small records in files that survive a crash at any point: a record then has either its
// old or its new content.
package persister

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Errors that the errors of this package wrap.
var (
	// ErrCorrupt is wrapped by the error of reading a record that is torn or fails its checksum.
	ErrCorrupt = merry.Sentinel("corrupt record")
	// ErrInUse is wrapped by the error of opening a folder that another process has open.
	ErrInUse = merry.Sentinel("folder in use")
	// ErrMissing is wrapped by the error of reading a record that was never written.
	ErrMissing = merry.Sentinel("missing record")
)

// Step identifies a point in Folder.Write.
type Step string

// Steps of a write, in their order.
const (
	StepBeforeWrite     Step = "before-write"
	StepBeforeSync      Step = "before-sync"
	StepAfterSync       Step = "after-sync"
	StepBeforeRename    Step = "before-rename"
	StepAfterRename     Step = "after-rename"
	StepAfterFolderSync Step = "after-folder-sync"
)

// Steps returns all steps of a write in their order.
func Steps() []Step {
	return []Step{StepBeforeWrite, StepBeforeSync, StepAfterSync, StepBeforeRename, StepAfterRename, StepAfterFolderSync}
}

const (
	folderMode      = 0o700
	headerBytes     = len(magic) + 8 + 8
	lockName        = "lock"
	magic           = "MRREC001"
	recordMode      = 0o600
	temporarySuffix = ".new"
)

// Folder holds records, one per file, and is locked against other processes. It is not safe for concurrent use.
type Folder struct {
	fileSystem FileSystem
	lock       io.Closer
	path       string
	stepHook   func(Step, string) error
}

// Option configures a Folder in Open.
type Option func(*Folder)

// WithStepHook sets a function that Write calls at each step with the record's name. If it returns an error,
// Write stops there and returns that error.
func WithStepHook(hook func(step Step, name string) error) Option {
	return func(folder *Folder) { folder.stepHook = hook }
}

// WithFileSystem sets the file system that the folder is stored in, instead of that of the operating system.
func WithFileSystem(fileSystem FileSystem) Option {
	return func(folder *Folder) { folder.fileSystem = fileSystem }
}

// Open opens the folder at path and locks it until Close is called or the process ends. It creates the folder if it
// does not exist. The error wraps ErrInUse if the lock is held elsewhere.
func Open(path string, options ...Option) (*Folder, error) {
	folder := &Folder{fileSystem: operatingSystem{}, path: path, stepHook: func(Step, string) error { return nil }}
	for _, option := range options {
		option(folder)
	}
	if err := folder.create(path); err != nil {
		return nil, err
	}
	lock, err := folder.fileSystem.Lock(filepath.Join(path, lockName))
	if err != nil {
		return nil, err
	}
	folder.lock = lock
	return folder, nil
}

// create creates the folder at path, and those above it, unless it exists. A new folder survives a crash only after
// the one above it has been synced.
func (f *Folder) create(path string) error {
	err := f.fileSystem.Mkdir(path)
	if errors.Is(err, os.ErrExist) {
		return nil
	}
	if errors.Is(err, os.ErrNotExist) {
		if err := f.create(filepath.Dir(path)); err != nil {
			return err
		}
		err = f.fileSystem.Mkdir(path)
	}
	if err != nil {
		return err
	}
	return f.fileSystem.SyncFolder(filepath.Dir(path))
}

// Close releases the lock, so that another process can open the folder.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// IsEmpty reports whether the folder contains no record, neither a complete one nor a partly written one.
func (f *Folder) IsEmpty() (bool, error) {
	names, err := f.fileSystem.ReadNames(f.path)
	for _, name := range names {
		if name != lockName {
			return false, err
		}
	}
	return true, err
}

// Read returns the content of a record. The error wraps ErrMissing if there is no such record and ErrCorrupt if it
// is damaged.
func (f *Folder) Read(name string) ([]byte, error) {
	path := filepath.Join(f.path, name)
	data, err := f.fileSystem.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%w: %s", ErrMissing, path)
	}
	if err != nil {
		return nil, merry.Prepend(err, path)
	}
	content, ok := unframe(data)
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, path)
	}
	return content, nil
}

// Write replaces a record: it writes and syncs a temporary file, renames it and syncs the folder. When it returns
// nil, the new content survives a crash; after an error, either the old or the new content does.
func (f *Folder) Write(name string, content []byte) error {
	path := filepath.Join(f.path, name)
	temporary := path + temporarySuffix
	if err := f.stepHook(StepBeforeWrite, name); err != nil {
		return err
	}
	if err := f.writeSynced(temporary, name, frame(content)); err != nil {
		return merry.Prepend(err, temporary)
	}
	if err := f.stepHook(StepBeforeRename, name); err != nil {
		return err
	}
	if err := f.fileSystem.Rename(temporary, path); err != nil {
		return err
	}
	if err := f.stepHook(StepAfterRename, name); err != nil {
		return err
	}
	if err := f.fileSystem.SyncFolder(f.path); err != nil {
		return merry.Prepend(err, f.path)
	}
	return f.stepHook(StepAfterFolderSync, name)
}

// writeSynced writes the data to the file at path and syncs it to disk.
func (f *Folder) writeSynced(path, name string, data []byte) (err error) {
	file, err := f.fileSystem.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := f.stepHook(StepBeforeSync, name); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return f.stepHook(StepAfterSync, name)
}

// frame returns the content of a record file: magic, the length of the content and its xxHash64, both as 8 bytes in
// little-endian order, and the content.
func frame(content []byte) []byte {
	data := make([]byte, 0, headerBytes+len(content))
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint64(data, uint64(len(content)))
	data = binary.LittleEndian.AppendUint64(data, xxhash.Sum64(content))
	return append(data, content...)
}

// unframe returns the content of a record file. It returns false if the header, the length or the checksum does not
// match.
func unframe(data []byte) ([]byte, bool) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return nil, false
	}
	length := binary.LittleEndian.Uint64(data[len(magic):])
	sum := binary.LittleEndian.Uint64(data[len(magic)+8:])
	content := data[headerBytes:]
	if uint64(len(content)) != length || xxhash.Sum64(content) != sum {
		return nil, false
	}
	return content, true
}
