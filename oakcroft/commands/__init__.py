"""The subcommands of the command line, except those that run a front end."""
