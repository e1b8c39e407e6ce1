"""The command line; each sub-command is a file of its own and loads what it needs when it is called."""
