"""The command line: ``app`` declares the sub-commands, and the other modules implement them."""
