"""
Measures the four things that the users judge, on loopback.

Not a simulator: real daemons and stand-ins, each a process of its own, and
an open-loop load. Not part of the verdict of the tests.
"""
