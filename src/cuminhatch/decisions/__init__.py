"""
Decisions: plain functions and closures over plain data.

Nothing here opens a socket, reads a clock or draws an unseeded random
number; times and ``random.Random`` are passed in.
"""
