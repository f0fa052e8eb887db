"""
Measures the four acceptance criteria of the users, on loopback.

Runs real daemons and stand-ins, each in its own process, under an open-loop
load; it is not a simulation. The tests don't depend on its results.
"""
