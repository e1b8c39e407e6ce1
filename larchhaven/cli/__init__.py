"""The command line: ``app`` declares the sub-commands, each other module does the work of one."""
