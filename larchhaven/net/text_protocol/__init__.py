"""The text protocol spoken with clients and servers."""
