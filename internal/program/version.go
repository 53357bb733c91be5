package program

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

const unknownVersion = "unknown"

func (p Program[S]) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the program's version",
		Action: func(_ context.Context, command *cli.Command) error {
			_, err := fmt.Fprintln(command.Root().Writer, p.Name, Version())
			return err
		},
	}
}

// Version returns the module version, the VCS revision and the Go version, as
// recorded in the build. A missing value is reported as "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	revision := unknownVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return fmt.Sprintf("%s (revision %s, %s)", info.Main.Version, revision, info.GoVersion)
}
