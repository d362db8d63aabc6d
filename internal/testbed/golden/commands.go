package golden

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

// Commands lists every command under root, sorted by its path without the root's name: aliases, texts of the help,
// arguments, and its flags as the help shows them, with what they take, need and default to.
func Commands(root *cli.Command) string {
	var parts []string
	var list func(path []string, c *cli.Command)
	list = func(path []string, c *cli.Command) {
		parts = append(parts, command(strings.Join(path, " "), c))
		for _, sub := range c.Commands {
			list(append(slices.Clone(path), sub.Name), sub)
		}
	}
	list([]string{"program"}, root)
	slices.Sort(parts)
	return strings.Join(parts, "\n")
}

func command(path string, c *cli.Command) string {
	lines := []string{"usage: " + c.Usage}
	add := func(name, value string) {
		if value != "" {
			lines = append(lines, name+": "+strconv.Quote(value))
		}
	}
	add("aliases", strings.Join(c.Aliases, " "))
	add("usage text", c.UsageText)
	add("arguments", c.ArgsUsage)
	add("description", c.Description)
	add("version", c.Version)
	add("default command", c.DefaultCommand)
	add("category", c.Category)
	add("deprecated", c.Deprecated)
	if c.Hidden {
		lines = append(lines, "hidden")
	}
	if c.SkipFlagParsing {
		lines = append(lines, "flags are not parsed")
	}
	if c.Action == nil {
		lines = append(lines, "no action")
	}
	for _, arg := range c.Arguments {
		add("argument", arg.Usage())
	}
	flags := make([]string, 0, len(c.Flags))
	for _, f := range c.Flags {
		flags = append(flags, flagLine(f))
	}
	slices.Sort(flags)
	for i, group := range c.MutuallyExclusiveFlags {
		for _, option := range group.Flags {
			for _, f := range option {
				line := fmt.Sprintf("exclusive group %d, required %v: %s", i, group.Required, flagLine(f))
				flags = append(flags, line)
			}
		}
	}
	return Lines(path, append(lines, flags...)...)
}

func flagLine(f cli.Flag) string {
	line := "flag " + strings.Join(f.Names(), " ") + ": " + strconv.Quote(f.String())
	if doc, ok := f.(cli.DocGenerationFlag); ok {
		line += fmt.Sprintf(" value=%t default=%q text=%q env=%v",
			doc.TakesValue(), doc.GetValue(), doc.GetDefaultText(), doc.GetEnvVars())
	}
	if need, ok := f.(cli.RequiredFlag); ok && need.IsRequired() {
		line += " required"
	}
	if typed, ok := f.(cli.SchemaTyper); ok {
		line += " " + typed.SchemaType()
	}
	if seen, ok := f.(cli.VisibleFlag); ok && !seen.IsVisible() {
		line += " hidden"
	}
	return line
}
