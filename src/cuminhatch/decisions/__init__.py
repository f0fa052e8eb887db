"""
Decision logic: plain functions and closures over plain data.

Nothing here opens a socket, reads a clock or uses an unseeded random number
generator; the current time and a ``random.Random`` are passed in.
"""
