"""Where the proxy's memory goes: an account by purpose, the plan of its caps, and who gives way at a cap.

Pure: no socket, file, clock or log. Sizes are whole bytes; times are microseconds on the caller's clock.
"""
