"""
The adapter to the users' platform.

It translates the platform's names, formats and calls into types of the
product, and decides nothing.
"""
