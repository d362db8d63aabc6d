package golden

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
)

// Commands returns a section for root and each command below it, sorted by path, with "program" in place of the root's
// name. A section lists the command's aliases, help texts, arguments and flags, the latter with help text, type,
// default, environment variables and whether they are required.
func Commands(root *cli.Command) string {
	var sections []string
	var visit func(path []string, c *cli.Command)
	visit = func(path []string, c *cli.Command) {
		sections = append(sections, commandSection(strings.Join(path, " "), c))
		for _, sub := range c.Commands {
			visit(append(slices.Clone(path), sub.Name), sub)
		}
	}
	visit([]string{"program"}, root)
	slices.Sort(sections)
	return strings.Join(sections, "\n")
}

func commandSection(path string, c *cli.Command) string {
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
	if required, ok := f.(cli.RequiredFlag); ok && required.IsRequired() {
		line += " required"
	}
	if typed, ok := f.(cli.SchemaTyper); ok {
		line += " " + typed.SchemaType()
	}
	if visible, ok := f.(cli.VisibleFlag); ok && !visible.IsVisible() {
		line += " hidden"
	}
	return line
}
