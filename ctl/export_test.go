package ctl

// Parse parses a command line without running the command.
func Parse(args []string) error {
	parser, _ := newParser(&globalOptions{})
	_, err := parser.ParseArgs(args)
	return err
}
