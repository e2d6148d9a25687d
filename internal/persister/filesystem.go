package persister

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// FileSystem is the file system that a Folder is stored in.
type FileSystem interface {
	// Create opens a file for writing and makes it empty.
	Create(path string) (File, error)
	// Lock locks a file until the result is closed. The error wraps ErrInUse if another process has locked it.
	Lock(path string) (io.Closer, error)
	// Mkdir creates a folder. The error wraps os.ErrExist if the path is in use and os.ErrNotExist if it has no parent.
	Mkdir(path string) error
	// ReadFile returns the content of a file. The error wraps os.ErrNotExist if there is none.
	ReadFile(path string) ([]byte, error)
	// ReadNames returns the names of the files in a folder.
	ReadNames(folder string) ([]string, error)
	Rename(from, to string) error
	// SyncFolder makes the names in the folder survive a loss of power.
	SyncFolder(path string) error
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content of the file survive a loss of power.
	Sync() error
}

// operatingSystem is the file system of the operating system.
type operatingSystem struct{}

// Create implements FileSystem.
func (operatingSystem) Create(path string) (File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordMode)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Lock implements FileSystem.
func (operatingSystem) Lock(path string) (io.Closer, error) {
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, recordMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInUse, path, errors.Join(err, lock.Close()))
	}
	return lock, nil
}

// Mkdir implements FileSystem. It doesn't try to create a folder that exists, because the one above it may allow no
// changes.
func (operatingSystem) Mkdir(path string) error {
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%w: %s", os.ErrExist, path)
	}
	return os.Mkdir(path, folderMode)
}

// ReadFile implements FileSystem.
func (operatingSystem) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// ReadNames implements FileSystem.
func (operatingSystem) ReadNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Rename implements FileSystem.
func (operatingSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// SyncFolder implements FileSystem.
func (operatingSystem) SyncFolder(path string) (err error) {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	return folder.Sync()
}
