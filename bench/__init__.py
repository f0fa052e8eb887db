"""
Measures the four acceptance criteria of the users, on loopback.

These are the latency that a daemon adds, the rate of probes with the resource
use of idle daemons, the goodput at peak load, and the latency of short work
while long work runs. The benchmarks run real daemons and stand-ins, each in
its own process, under an open-loop load; only ``choice_trial`` is a
simulation. The tests don't depend on the results.
"""
