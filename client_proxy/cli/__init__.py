"""The command line: an instance that runs from its own file, its control socket and log, and the commands."""
