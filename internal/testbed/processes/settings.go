package processes

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"text/template"

	"crosstide/internal/errs"
)

// Limits are the resources in the settings of a machine.
type Limits struct {
	MemoryMB        int
	FileDescriptors int
	DiskMB          int
}

// settings are the values that the template of the settings file uses.
type settings struct {
	Name, Host, Zone                            string
	IsCore                                      bool
	ClientAddress, ReadyAddress, ControlAddress string
	Seeds                                       []string
	FirstInternalPort, LastInternalPort         int
	DataFolder                                  string
	Limits                                      Limits
	Bootstrap                                   bool
}

// maxSeeds is the maximum number of control planes that the settings name as seeds.
const maxSeeds = 3

// settingsOf returns the settings of a node for its next start.
func (f *Fleet) settingsOf(n *Node) settings {
	s := settings{
		Name: n.Name, Host: n.Host, Zone: n.Zone, IsCore: n.IsCore, Limits: n.limits, Bootstrap: !n.wasStarted,
		ClientAddress: f.Address(n.Host, ClientPort), ReadyAddress: f.Address(n.Host, ReadyPort),
		ControlAddress:    f.Address(n.Host, ControlPort),
		FirstInternalPort: f.port + InternalPort, LastInternalPort: f.port + lastInternalPort,
		DataFolder: filepath.Join(f.opt.Folder, n.Name),
	}
	for _, core := range f.Cores[:min(maxSeeds, len(f.Cores))] {
		s.Seeds = append(s.Seeds, f.Address(core.Host, ControlPort))
	}
	return s
}

// writeSettings writes the settings file of a node, makes its data folder and returns the path of the file.
func (f *Fleet) writeSettings(n *Node) (string, error) {
	page, err := template.ParseFiles(f.opt.Template)
	if err != nil {
		return "", errs.Wrap(err, errs.Settings, "template of the settings")
	}
	var text bytes.Buffer
	if err := page.Execute(&text, f.settingsOf(n)); err != nil {
		return "", errs.Wrap(err, errs.Settings, "fill the template")
	}
	path := filepath.Join(f.opt.Folder, n.Name+".json")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return "", errs.Wrap(err, errs.Disk, "write the settings")
	}
	if n.IsCore {
		if err := os.MkdirAll(filepath.Join(f.opt.Folder, n.Name), 0o700); err != nil {
			return "", errs.Wrap(err, errs.Disk, "data folder")
		}
	}
	return path, nil
}

// Address returns an address of a host with a port of the fleet, such as ControlPort.
func (f *Fleet) Address(host string, port int) string { return fmt.Sprintf("%s:%d", host, f.port+port) }
